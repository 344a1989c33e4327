/** What changes from one bundle to the next. */

import type { Bundle } from "./bundle.ts";

/** One difference. */
export interface BundleChange {
  readonly kind: "added" | "removed" | "changed";
  readonly section: string;
  readonly key: string;
  readonly before?: string;
  readonly after?: string;
  /** Whether reviewers should look twice. */
  readonly risky: boolean;
}

type Values = ReadonlyMap<string, string>;

function flatten(item: object): Values {
  const values = new Map<string, string>();
  for (const [key, value] of Object.entries(item)) {
    if (value !== undefined) values.set(key, String(value));
  }
  return values;
}

function sectionsOf(bundle: Bundle): ReadonlyMap<string, Values> {
  const { scope, version, note, accounts, services, kinds } = bundle;
  const sections = new Map<string, Values>();
  sections.set("bundle", flatten({ scope, version, note }));
  for (const { name, ...rest } of accounts) {
    sections.set(`account:${name}`, flatten(rest));
  }
  for (const { name, ...rest } of services) {
    sections.set(`service:${name}`, flatten(rest));
  }
  for (const { service, name, ...rest } of kinds) {
    sections.set(`kind:${service}/${name}`, flatten(rest));
  }
  return sections;
}

const RISKY_KEYS = new Set(["protected", "idempotent", "tokenSha256"]);

function diffSection(
  section: string,
  options: { readonly before: Values; readonly after: Values },
): readonly BundleChange[] {
  const { before, after } = options;
  const changes: BundleChange[] = [];
  for (const key of new Set([...before.keys(), ...after.keys()])) {
    const was = before.get(key);
    const is = after.get(key);
    if (was === is) continue;
    const kind = was === undefined
      ? "added"
      : is === undefined
      ? "removed"
      : "changed";
    changes.push({
      kind,
      section,
      key,
      ...(was === undefined ? {} : { before: was }),
      ...(is === undefined ? {} : { after: is }),
      risky: RISKY_KEYS.has(key) && was !== undefined,
    });
  }
  return changes;
}

/** Lists the differences, by section. */
export function diffBundles(
  before: Bundle,
  after: Bundle,
): readonly BundleChange[] {
  const old = sectionsOf(before);
  const current = sectionsOf(after);
  const changes: BundleChange[] = [];
  for (const section of new Set([...old.keys(), ...current.keys()])) {
    const was = old.get(section);
    const is = current.get(section);
    if (was !== undefined && is !== undefined) {
      changes.push(...diffSection(section, { before: was, after: is }));
      continue;
    }
    changes.push({
      kind: was === undefined ? "added" : "removed",
      section,
      key: "(section)",
      risky: was !== undefined,
    });
  }
  return changes;
}

/** Formats a change as one line for people. */
export function formatChange(change: BundleChange): string {
  const sign = { added: "+", removed: "-", changed: "~" }[change.kind];
  const values = [change.before, change.after].filter((v) => v !== undefined);
  const text = values.length > 0 ? `: ${values.join(" -> ")}` : "";
  const risk = change.risky ? "  (look twice)" : "";
  return `${sign} [${change.section}] ${change.key}${text}${risk}`;
}
