/** Bundles in force on this node, with the texts that other nodes can fetch. */

import {
  type Bundle,
  type Catalog,
  createCatalog,
  FLEET_SCOPE,
} from "@coltsfootdeal/bundle";
import {
  type AdoptionResult,
  createAdoption,
  type ScopeVersion,
} from "@coltsfootdeal/policy";
import { err, ok, type Result } from "neverthrow";
import type { Audit } from "../admin/audit.ts";

/** A bundle whose text was validated. */
export interface ValidatedBundle {
  readonly bundle: Bundle;
  readonly digest: string;
  /** Ids of the keys that signed it, or the trusted place where it was read. */
  readonly signers: readonly string[];
}

/** Validates the text of a bundle; the error says why it is invalid. */
export type BundleValidator = (text: string) => Result<ValidatedBundle, string>;

/** Whether an offered bundle was adopted, and its version. */
export interface OfferResult {
  readonly verdict: AdoptionResult;
  readonly version: ScopeVersion;
}

/** The bundles in force, at most one per scope. */
export interface BundleStore {
  /**
   * Validates the text of a bundle and puts it in force if it is newer. `from`
   * names its source in audit records.
   */
  readonly offer: (
    text: string,
    from: string,
  ) => Result<OfferResult, string>;
  /** Catalog of all bundles in force; undefined without a fleet bundle. */
  readonly catalog: () => Catalog | undefined;
  readonly versions: () => readonly ScopeVersion[];
  readonly inForce: (scope: string) => ScopeVersion | undefined;
  /** Text of the bundle in force, as it was offered. */
  readonly textOf: (scope: string) => string | undefined;
}

/** Creates an empty store. */
export function createBundleStore(config: {
  readonly validate: BundleValidator;
  readonly audit: Audit;
  /** Called with each new catalog, which needs a fleet bundle in force. */
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
      const validated = config.validate(text);
      if (validated.isErr()) {
        const reason = validated.error;
        audit.record("bundle_refused", { from, reason });
        return err(validated.error);
      }
      const { bundle, digest, signers } = validated.value;
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
