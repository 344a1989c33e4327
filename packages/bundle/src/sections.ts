/** Parses INI text into sections, with stricter syntax than the ini package. */

import { parse } from "ini";
import type { Fault } from "./fault.ts";

/** The keys and values of a section. */
export type Section = Readonly<Record<string, unknown>>;

/** The sections of a text, and its syntax faults. */
export interface ParsedSections {
  readonly sections: ReadonlyMap<string, Section>;
  readonly faults: readonly Fault[];
}

const HEADER_PATTERN = /^\[([^\]]*)\]$/;
const COMMENT_PATTERN = /^[;#]/;

/**
 * Finds faults that the ini package accepts silently: lines that are neither
 * header, comment nor `key = value`, and duplicate sections or keys.
 */
function findLineFaults(text: string): readonly Fault[] {
  const faults: Fault[] = [];
  const seen = new Set<string>();
  let section = "(file)";
  for (const rawLine of text.split(/\r?\n/)) {
    const line = rawLine.trim();
    if (line === "" || COMMENT_PATTERN.test(line)) continue;
    const header = HEADER_PATTERN.exec(line)?.[1];
    const name = header === undefined ? undefined : header.trim();
    if (name !== undefined) section = name;
    const key = name === undefined ? line.split("=")[0]?.trim() ?? "" : "";
    if (name === undefined && !line.includes("=")) {
      faults.push({ section, key: line, expected: "a line key = value" });
    }
    const entryId = `${section}\n${key}`;
    if (seen.has(entryId)) {
      const faultKey = key === "" ? "(section)" : key;
      faults.push({ section, key: faultKey, expected: "to be given once" });
    }
    seen.add(entryId);
  }
  return faults;
}

function isSection(value: unknown): value is Section {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Parses INI text; dots in section names are taken literally. */
export function parseSections(text: string): ParsedSections {
  const faults = [...findLineFaults(text)];
  const sections = new Map<string, Section>();
  // Without the escape, the ini package nests sections at dots.
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
        expected: "to be in a section",
      });
    }
  }
  return { sections, faults };
}
