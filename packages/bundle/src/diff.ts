/** Differences between two bundles. */

import type { Bundle } from "./bundle.ts";

/** A section or a key that differs between two bundles. */
export interface BundleChange {
  readonly kind: "added" | "removed" | "changed";
  /** Section as written in INI, for example `kind:SERVICE/KIND`. */
  readonly section: string;
  /** Name of the field, or `(section)` for a whole section. */
  readonly key: string;
  readonly before?: string;
  readonly after?: string;
  /**
   * Whether the change needs a closer review: it removes a section, or changes
   * protection, idempotence or a token.
   */
  readonly risky: boolean;
}

type FieldValues = ReadonlyMap<string, string>;

/** Field values as text, without fields that are undefined. */
function stringifyFields(item: object): FieldValues {
  const values = new Map<string, string>();
  for (const [key, value] of Object.entries(item)) {
    if (value !== undefined) values.set(key, String(value));
  }
  return values;
}

function listSections(bundle: Bundle): ReadonlyMap<string, FieldValues> {
  const { scope, version, note, accounts, services, kinds } = bundle;
  const sections = new Map<string, FieldValues>();
  sections.set("bundle", stringifyFields({ scope, version, note }));
  for (const { name, ...rest } of accounts) {
    sections.set(`account:${name}`, stringifyFields(rest));
  }
  for (const { name, ...rest } of services) {
    sections.set(`service:${name}`, stringifyFields(rest));
  }
  for (const { service, name, ...rest } of kinds) {
    sections.set(`kind:${service}/${name}`, stringifyFields(rest));
  }
  return sections;
}

/** Fields of which a change or removal needs a closer review. */
const RISKY_KEYS = new Set(["protected", "idempotent", "tokenSha256"]);

function diffSection(
  section: string,
  options: { readonly before: FieldValues; readonly after: FieldValues },
): readonly BundleChange[] {
  const { before, after } = options;
  const changes: BundleChange[] = [];
  for (const key of new Set([...before.keys(), ...after.keys()])) {
    const oldValue = before.get(key);
    const newValue = after.get(key);
    if (oldValue === newValue) continue;
    const kind = oldValue === undefined
      ? "added"
      : newValue === undefined
      ? "removed"
      : "changed";
    changes.push({
      kind,
      section,
      key,
      ...(oldValue === undefined ? {} : { before: oldValue }),
      ...(newValue === undefined ? {} : { after: newValue }),
      risky: RISKY_KEYS.has(key) && oldValue !== undefined,
    });
  }
  return changes;
}

/** Lists the differences, in the order of the sections. */
export function diffBundles(
  before: Bundle,
  after: Bundle,
): readonly BundleChange[] {
  const oldSections = listSections(before);
  const newSections = listSections(after);
  const changes: BundleChange[] = [];
  for (
    const section of new Set([...oldSections.keys(), ...newSections.keys()])
  ) {
    const oldSection = oldSections.get(section);
    const newSection = newSections.get(section);
    if (oldSection !== undefined && newSection !== undefined) {
      changes.push(
        ...diffSection(section, { before: oldSection, after: newSection }),
      );
      continue;
    }
    changes.push({
      kind: oldSection === undefined ? "added" : "removed",
      section,
      key: "(section)",
      risky: oldSection !== undefined,
    });
  }
  return changes;
}

/** Formats a change as one line: sign, section, key, old and new value. */
export function formatChange(change: BundleChange): string {
  const marker = { added: "+", removed: "-", changed: "~" }[change.kind];
  const values = [change.before, change.after].filter((v) => v !== undefined);
  const text = values.length > 0 ? `: ${values.join(" -> ")}` : "";
  const riskNote = change.risky ? "  (look twice)" : "";
  return `${marker} [${change.section}] ${change.key}${text}${riskNote}`;
}
