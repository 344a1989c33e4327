/** Parses and validates the INI text of a bundle. */

import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import type { Account, Bundle, CallKind, Service } from "./bundle.ts";
import {
  BODY_MAX_BYTES,
  DEFAULT_BODY_MAX_BYTES,
  FLEET_SCOPE,
  RANK_MAX,
  RETRY_ALLOWANCE_MAX,
} from "./constants.ts";
import type { Fault } from "./fault.ts";
import {
  booleanField,
  decimalField,
  enumField,
  integerField,
  listField,
  stringField,
  validateSection,
} from "./fields.ts";
import { parseSections, type Section } from "./sections.ts";

const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,63}$/;
const NAME_FORMAT = "a name of lowercase letters, digits and hyphens";
const CALLER_PATTERN = /^[a-z0-9][a-z0-9-]{0,63}\*?$|^\*$/;

const BUNDLE_SCHEMA = z.strictObject({
  scope: stringField(NAME_PATTERN, `"${FLEET_SCOPE}" or ${NAME_FORMAT}`),
  version: integerField(1, 2_000_000_000),
  note: z.string().max(500, "at most 500 characters").default(""),
});

const ACCOUNT_SCHEMA = z.strictObject({
  callers: listField(
    CALLER_PATTERN,
    "caller names; a trailing * matches any suffix",
  ),
  token_sha256: stringField(/^[0-9a-f]{64}$/, "64 hexadecimal digits")
    .optional(),
});

const SERVICE_SCHEMA = z.strictObject({
  slots: integerField(1, 10_000),
  connections: integerField(1, 100_000),
  cancellation: enumField(["close", "none"]).default("none"),
  order: enumField(["rank", "worth"]).default("rank"),
  shed_status: integerField(400, 599).optional(),
  shed_header: stringField(/^[a-z0-9-]+$/, "a header name").optional(),
  health_path: stringField(/^\/\S*$/, "a path that begins with /").optional(),
});

const KIND_SCHEMA = z.strictObject({
  rank: integerField(0, RANK_MAX),
  protected: booleanField().default(false),
  idempotent: booleanField(),
  deadline_ms: integerField(1, 600_000),
  weight: decimalField(0, 1_000_000),
  floor: decimalField(0, 1).default(0),
  retry_allowance: integerField(0, RETRY_ALLOWANCE_MAX).default(0),
  body_max_bytes: integerField(0, BODY_MAX_BYTES).default(
    DEFAULT_BODY_MAX_BYTES,
  ),
});

/** The parts of a bundle read so far, and all faults found. */
interface BundleDraft {
  header: z.output<typeof BUNDLE_SCHEMA> | undefined;
  readonly accounts: Account[];
  readonly services: Service[];
  readonly kinds: CallKind[];
  readonly faults: Fault[];
}

/** Adds a section's faults to the draft; returns its value if it is valid. */
function recordFaults<Value>(
  draft: BundleDraft,
  result: {
    readonly value: Value | undefined;
    readonly faults: readonly Fault[];
  },
): Value | undefined {
  draft.faults.push(...result.faults);
  return result.value;
}

function parseAccount(
  draft: BundleDraft,
  name: string,
  section: Section,
): void {
  const result = validateSection(ACCOUNT_SCHEMA, section, {
    name: `account:${name}`,
  });
  const value = recordFaults(draft, result);
  if (value === undefined) return;
  const { callers, token_sha256: tokenSha256 } = value;
  draft.accounts.push({ name, callers, tokenSha256 });
}

function parseService(
  draft: BundleDraft,
  name: string,
  section: Section,
): void {
  const result = validateSection(SERVICE_SCHEMA, section, {
    name: `service:${name}`,
  });
  const value = recordFaults(draft, result);
  if (value === undefined) return;
  if ((value.shed_status === undefined) !== (value.shed_header === undefined)) {
    draft.faults.push({
      section: `service:${name}`,
      key: value.shed_status === undefined ? "shed_status" : "shed_header",
      expected: "shed_status and shed_header together, or neither",
    });
  }
  draft.services.push({
    name,
    slots: value.slots,
    connections: value.connections,
    cancellation: value.cancellation,
    order: value.order,
    shedStatus: value.shed_status,
    shedHeader: value.shed_header,
    healthPath: value.health_path,
  });
}

function parseKind(draft: BundleDraft, name: string, section: Section): void {
  const sectionName = `kind:${name}`;
  const [service = "", kind = "", ...rest] = name.split("/");
  if (
    !NAME_PATTERN.test(service) || !NAME_PATTERN.test(kind) || rest.length > 0
  ) {
    draft.faults.push({
      section: sectionName,
      key: "(section)",
      expected: "kind:SERVICE/KIND",
    });
    return;
  }
  const value = recordFaults(
    draft,
    validateSection(KIND_SCHEMA, section, { name: sectionName }),
  );
  if (value === undefined) return;
  draft.kinds.push({
    service,
    name: kind,
    rank: value.rank,
    protected: value.protected,
    idempotent: value.idempotent,
    deadlineMs: value.deadline_ms,
    weight: value.weight,
    floor: value.floor,
    retryAllowance: value.retry_allowance,
    bodyMaxBytes: value.body_max_bytes,
  });
}

function parseSection(
  draft: BundleDraft,
  sectionName: string,
  section: Section,
): void {
  const colon = sectionName.indexOf(":");
  const type = colon < 0 ? sectionName : sectionName.slice(0, colon);
  const name = colon < 0 ? "" : sectionName.slice(colon + 1);
  switch (type) {
    case "bundle":
      draft.header = recordFaults(
        draft,
        validateSection(BUNDLE_SCHEMA, section, { name: sectionName }),
      );
      return;
    case "kind":
      return parseKind(draft, name, section);
    case "account":
    case "service":
      if (!NAME_PATTERN.test(name)) {
        draft.faults.push({
          section: sectionName,
          key: "(section)",
          expected: `${type}:NAME, ${NAME_FORMAT}`,
        });
        return;
      }
      return type === "account"
        ? parseAccount(draft, name, section)
        : parseService(draft, name, section);
    default:
      draft.faults.push({
        section: sectionName,
        key: "(section)",
        expected: "bundle, account:NAME, service:NAME or kind:SERVICE/KIND",
      });
  }
}

/**
 * Checks rules across sections: kinds need their service, the floors of a
 * service's kinds add up to at most 1, and a bundle of one service contains
 * neither other services nor accounts.
 */
function checkConsistency(draft: BundleDraft): void {
  const { services, kinds, faults } = draft;
  const names = new Set(services.map((service) => service.name));
  for (const kind of kinds) {
    if (names.has(kind.service)) continue;
    faults.push({
      section: `kind:${kind.service}/${kind.name}`,
      key: "(section)",
      expected: `a section service:${kind.service}`,
    });
  }
  for (const name of names) {
    const serviceKinds = kinds.filter((kind) => kind.service === name);
    const floorSum = serviceKinds.reduce((sum, kind) => sum + kind.floor, 0);
    // Tolerates the rounding error of the sum.
    if (floorSum > 1 + 1e-9) {
      faults.push({
        section: `service:${name}`,
        key: "floor",
        expected: "floors of its kinds that add up to at most 1",
        found: String(floorSum),
      });
    }
  }
  const scope = draft.header?.scope ?? FLEET_SCOPE;
  if (scope === FLEET_SCOPE) return;
  for (const name of names) {
    if (name === scope) continue;
    faults.push({
      section: `service:${name}`,
      key: "(section)",
      expected: `only service:${scope} in a bundle of scope ${scope}`,
    });
  }
  for (const account of draft.accounts) {
    faults.push({
      section: `account:${account.name}`,
      key: "(section)",
      expected: `accounts only in a bundle of scope ${FLEET_SCOPE}`,
    });
  }
}

/** Parses the INI text of a bundle; on failure, returns all its faults. */
export function parseBundle(text: string): Result<Bundle, readonly Fault[]> {
  const { sections, faults } = parseSections(text);
  const draft: BundleDraft = {
    header: undefined,
    accounts: [],
    services: [],
    kinds: [],
    faults: [...faults],
  };
  for (const [name, section] of sections) parseSection(draft, name, section);
  if (!sections.has("bundle")) {
    draft.faults.push({
      section: "bundle",
      key: "(section)",
      expected: "to be present, with scope and version",
    });
  }
  checkConsistency(draft);
  const { header, accounts, services, kinds } = draft;
  if (header === undefined || draft.faults.length > 0) {
    return err(draft.faults);
  }
  return ok({ ...header, accounts, services, kinds });
}
