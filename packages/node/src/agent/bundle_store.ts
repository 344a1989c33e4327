/** The bundles in force on this node, and the texts that it can hand on. */

import {
  type Bundle,
  type Catalog,
  createCatalog,
  FLEET_SCOPE,
} from "@coltsfootdeal/bundle";
import {
  type AdoptionVerdict,
  createAdoption,
  type ScopeVersion,
} from "@coltsfootdeal/policy";
import { err, ok, type Result } from "neverthrow";
import type { Audit } from "../admin/audit.ts";

/** A bundle that may be put in force. */
export interface ValidatedBundle {
  readonly bundle: Bundle;
  readonly digest: string;
  /** Who vouches for it: keys, or the place where it was read. */
  readonly signers: readonly string[];
}

/** Reads and checks the text of a bundle; the error says what is wrong. */
export type BundleValidator = (text: string) => Result<ValidatedBundle, string>;

/** What became of an offered envelope. */
export interface Offered {
  readonly verdict: AdoptionVerdict;
  readonly version: ScopeVersion;
}

/** The bundles in force. */
export interface BundleStore {
  /** Verifies an envelope and puts it in force if it is newer. */
  readonly offer: (
    text: string,
    from: string,
  ) => Result<Offered, string>;
  readonly catalog: () => Catalog | undefined;
  readonly versions: () => readonly ScopeVersion[];
  readonly inForce: (scope: string) => ScopeVersion | undefined;
  readonly textOf: (scope: string) => string | undefined;
}

/** Creates an empty store. */
export function createBundleStore(config: {
  readonly validate: BundleValidator;
  readonly audit: Audit;
  readonly onAdopted: (catalog: Catalog) => void;
}): BundleStore {
  const { audit } = config;
  const adoption = createAdoption();
  const bundles = new Map<string, Bundle>();
  const texts = new Map<string, string>();
  let catalog: Catalog | undefined;

  function adopt(bundle: Bundle, text: string): void {
    bundles.set(bundle.scope, bundle);
    texts.set(bundle.scope, text);
    if (!bundles.has(FLEET_SCOPE)) return;
    catalog = createCatalog([...bundles.values()]);
    config.onAdopted(catalog);
  }

  return {
    offer: (text, from) => {
      const opened = config.validate(text);
      if (opened.isErr()) {
        const reason = opened.error;
        audit.record("bundle_refused", { from, reason });
        return err(opened.error);
      }
      const { bundle, digest, signers } = opened.value;
      const { scope, version } = bundle;
      const offered = { scope, version, digest };
      const verdict = adoption.offer(offered);
      const fields = { scope, version, digest, from };
      switch (verdict.kind) {
        case "adopted":
          adopt(bundle, text);
          audit.record("bundle_in_force", {
            ...fields,
            before: verdict.before?.version ?? 0,
            signers: signers.join(","),
          });
          break;
        case "stale":
          audit.record("bundle_stale", {
            ...fields,
            inForce: verdict.inForce.version,
          });
          break;
        case "same":
          break;
      }
      return ok({ verdict, version: offered });
    },
    catalog: () => catalog,
    versions: () => adoption.all(),
    inForce: (scope) => adoption.inForce(scope),
    textOf: (scope) => texts.get(scope),
  };
}
