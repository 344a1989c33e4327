/**
 * Zod schemas for values of INI files. Their messages describe the expected
 * value and are used as the `expected` text of a fault.
 */

import * as z from "zod";
import type { Fault } from "./fault.ts";
import type { Section } from "./sections.ts";

const TRUE_WORDS = new Set(["yes", "true", "on"]);
const FALSE_WORDS = new Set(["no", "false", "off"]);

/** An integer within inclusive bounds. */
export function integerField(min: number, max: number) {
  const message = `a whole number from ${min} to ${max}`;
  return z.string(message).regex(/^-?\d+$/, message).transform(Number).refine(
    (value) => value >= min && value <= max,
    message,
  );
}

/** A decimal number within inclusive bounds, without an exponent. */
export function decimalField(min: number, max: number) {
  const message = `a number from ${min} to ${max}`;
  return z.string(message).regex(/^-?\d+(\.\d+)?$/, message).transform(Number)
    .refine((value) => value >= min && value <= max, message);
}

/** A boolean: yes, true or on; no, false or off. */
export function booleanField() {
  return z.string("yes or no").refine(
    (value) => TRUE_WORDS.has(value) || FALSE_WORDS.has(value),
    "yes or no",
  ).transform((value) => TRUE_WORDS.has(value));
}

/** One of the given words. */
export function enumField<const Words extends readonly [string, ...string[]]>(
  words: Words,
) {
  return z.enum(words, `one of ${words.join(", ")}`);
}

/** Text that matches a pattern; `expected` describes it. */
export function stringField(pattern: RegExp, expected: string) {
  return z.string(expected).regex(pattern, expected);
}

/** A comma-separated list whose items match a pattern; may be empty. */
export function listField(pattern: RegExp, expected: string) {
  return z.string(expected).transform((value) =>
    value.split(",").map((item) => item.trim()).filter((item) => item !== "")
  ).refine((items) => items.every((item) => pattern.test(item)), expected);
}

/** The value of a section, or the faults that make it invalid. */
export interface SectionResult<Value> {
  readonly value: Value | undefined;
  readonly faults: readonly Fault[];
}

/** Values as text; the ini package turns some words into booleans. */
function stringifyValues(section: Section): Record<string, string> {
  const entries = Object.entries(section).map(([key, value]) => [
    key,
    String(value),
  ]);
  return Object.fromEntries(entries);
}

/** Validates a section against a schema; reports one fault per key. */
export function validateSection<Schema extends z.ZodType>(
  schema: Schema,
  section: Section,
  options: { readonly name: string },
): SectionResult<z.output<Schema>> {
  const text = stringifyValues(section);
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
