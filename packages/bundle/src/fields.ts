/** Field types of INI files, as zod schemas whose messages name the type. */

import * as z from "zod";
import type { Fault } from "./fault.ts";
import type { Section } from "./sections.ts";

const YES = new Set(["yes", "true", "on"]);
const NO = new Set(["no", "false", "off"]);

/** A whole number within bounds. */
export function integerField(min: number, max: number) {
  const message = `a whole number from ${min} to ${max}`;
  return z.string(message).regex(/^-?\d+$/, message).transform(Number).refine(
    (value) => value >= min && value <= max,
    message,
  );
}

/** A decimal number within bounds. */
export function decimalField(min: number, max: number) {
  const message = `a number from ${min} to ${max}`;
  return z.string(message).regex(/^-?\d+(\.\d+)?$/, message).transform(Number)
    .refine((value) => value >= min && value <= max, message);
}

/** yes or no. */
export function booleanField() {
  return z.string("yes or no").refine(
    (value) => YES.has(value) || NO.has(value),
    "yes or no",
  ).transform((value) => YES.has(value));
}

/** One of a few words. */
export function enumField<const Words extends readonly [string, ...string[]]>(
  words: Words,
) {
  return z.enum(words, `one of ${words.join(", ")}`);
}

/** Text that matches a pattern. */
export function stringField(pattern: RegExp, expected: string) {
  return z.string(expected).regex(pattern, expected);
}

/** A list of words, separated by commas. */
export function listField(pattern: RegExp, expected: string) {
  return z.string(expected).transform((value) =>
    value.split(",").map((item) => item.trim()).filter((item) => item !== "")
  ).refine((items) => items.every((item) => pattern.test(item)), expected);
}

/** The result of checking one section. */
export interface SectionResult<Value> {
  readonly value: Value | undefined;
  readonly faults: readonly Fault[];
}

/** Values as text, since the INI library turns some words into booleans. */
function asText(section: Section): Record<string, string> {
  const entries = Object.entries(section).map(([key, value]) => [
    key,
    String(value),
  ]);
  return Object.fromEntries(entries);
}

/** Checks a section against its schema, with one fault per key. */
export function validateSection<Schema extends z.ZodType>(
  schema: Schema,
  section: Section,
  options: { readonly name: string },
): SectionResult<z.output<Schema>> {
  const text = asText(section);
  const result = schema.safeParse(text);
  if (result.success) return { value: result.data, faults: [] };
  const faults = new Map<string, Fault>();
  for (const issue of result.error.issues) {
    if (issue.code === "unrecognized_keys") {
      for (const key of issue.keys) {
        faults.set(key, {
          section: options.name,
          key,
          expected: "a known key",
        });
      }
      continue;
    }
    const key = String(issue.path[0] ?? "(section)");
    const found = text[key];
    const fault = { section: options.name, key, expected: issue.message };
    if (!faults.has(key)) {
      faults.set(key, found === undefined ? fault : { ...fault, found });
    }
  }
  return { value: undefined, faults: [...faults.values()] };
}
