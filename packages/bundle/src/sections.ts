/** Reads INI text into sections, and reports what the INI library lets pass. */

import { parse } from "ini";
import type { Fault } from "./fault.ts";

/** A section's keys and values. */
export type Section = Readonly<Record<string, unknown>>;

/** The sections of a text, and the faults of its form. */
export interface ParsedSections {
  readonly sections: ReadonlyMap<string, Section>;
  readonly faults: readonly Fault[];
}

const HEADER = /^\[([^\]]*)\]$/;
const COMMENT = /^[;#]/;

/** Lines that are neither header, comment nor `key = value`; duplicates. */
function scanLines(text: string): readonly Fault[] {
  const faults: Fault[] = [];
  const seen = new Set<string>();
  let section = "(file)";
  for (const raw of text.split(/\r?\n/)) {
    const line = raw.trim();
    if (line === "" || COMMENT.test(line)) continue;
    const header = HEADER.exec(line)?.[1];
    const name = header === undefined ? undefined : header.trim();
    if (name !== undefined) section = name;
    const key = name === undefined ? line.split("=")[0]?.trim() ?? "" : "";
    if (name === undefined && !line.includes("=")) {
      faults.push({ section, key: line, expected: "a line key = value" });
    }
    const id = `${section}\n${key}`;
    if (seen.has(id)) {
      const what = key === "" ? "(section)" : key;
      faults.push({ section, key: what, expected: "to be given once" });
    }
    seen.add(id);
  }
  return faults;
}

function isSection(value: unknown): value is Section {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Parses INI text; section names must not contain dots. */
export function parseSections(text: string): ParsedSections {
  const faults = [...scanLines(text)];
  const sections = new Map<string, Section>();
  // Dots would nest sections, which no file of ours uses.
  const escaped = text.replace(
    /^(\s*\[)([^\]]*)(\]\s*)$/gm,
    (_, open, name, close) => open + name.replaceAll(".", "\\.") + close,
  );
  for (const [name, value] of Object.entries(parse(escaped))) {
    if (isSection(value)) {
      sections.set(name, value);
    } else if (!faults.some((fault) => fault.key === name)) {
      faults.push({
        section: "(file)",
        key: name,
        expected: "to stand in a section",
      });
    }
  }
  return { sections, faults };
}
