/**
 * Which version of a scope is in force. Versions are totally ordered by number
 * and then by digest, so that two bundles that were rolled under the same
 * number converge on one everywhere, and nothing ever goes back.
 */

/** Identity of one version of a scope. */
export interface ScopeVersion {
  readonly scope: string;
  readonly version: number;
  /** Digest of the signed payload, in hex. */
  readonly digest: string;
}

/** What became of an offered version. */
export type AdoptionResult =
  | { readonly kind: "adopted"; readonly before: ScopeVersion | undefined }
  | { readonly kind: "same" }
  | { readonly kind: "stale"; readonly inForce: ScopeVersion };

/** The versions in force on one node. */
export interface Adoption {
  /** Offers a version whose signature has been checked. */
  readonly offer: (offered: ScopeVersion) => AdoptionResult;
  readonly inForce: (scope: string) => ScopeVersion | undefined;
  readonly all: () => readonly ScopeVersion[];
}

/** Orders two versions of one scope: negative if `a` is the older one. */
export function compareVersions(
  a: Pick<ScopeVersion, "version" | "digest">,
  b: Pick<ScopeVersion, "version" | "digest">,
): number {
  if (a.version !== b.version) return a.version - b.version;
  if (a.digest === b.digest) return 0;
  return a.digest < b.digest ? -1 : 1;
}

/** Creates a node's adoption with nothing in force. */
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
