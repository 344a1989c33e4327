/**
 * Tracks which bundle version of each scope is in force. Versions are totally
 * ordered by number and then by digest. If two bundles are published with the
 * same number, all nodes converge on the same one, and no node ever returns to
 * an older version.
 */

/** Identity of one version of a scope's bundle. */
export interface ScopeVersion {
  readonly scope: string;
  readonly version: number;
  /** Digest of the signed payload, in hex. */
  readonly digest: string;
}

/** Result of offering a version. `before` is the version it replaces. */
export type AdoptionResult =
  | { readonly kind: "adopted"; readonly before: ScopeVersion | undefined }
  | { readonly kind: "same" }
  | { readonly kind: "stale"; readonly inForce: ScopeVersion };

/** The versions in force on one node. */
export interface Adoption {
  /** Adopts a version, whose signature was verified, if it is newer. */
  readonly offer: (offered: ScopeVersion) => AdoptionResult;
  /** The version of a scope in force. */
  readonly inForce: (scope: string) => ScopeVersion | undefined;
  /** The versions in force of all scopes. */
  readonly all: () => readonly ScopeVersion[];
}

/** Compares two versions of one scope: negative if `a` is older. */
export function compareVersions(
  a: Pick<ScopeVersion, "version" | "digest">,
  b: Pick<ScopeVersion, "version" | "digest">,
): number {
  if (a.version !== b.version) return a.version - b.version;
  if (a.digest === b.digest) return 0;
  return a.digest < b.digest ? -1 : 1;
}

/** Creates an adoption state with no version in force. */
export function createAdoption(): Adoption {
  const versions = new Map<string, ScopeVersion>();
  return {
    offer: (offered) => {
      const before = versions.get(offered.scope);
      const order = before === undefined ? 1 : compareVersions(offered, before);
      if (order === 0) return { kind: "same" };
      if (before !== undefined && order < 0) {
        return { kind: "stale", inForce: before };
      }
      versions.set(offered.scope, offered);
      return { kind: "adopted", before };
    },
    inForce: (scope) => versions.get(scope),
    all: () => [...versions.values()],
  };
}
