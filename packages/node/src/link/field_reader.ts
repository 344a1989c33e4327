/** Reads the fields of a message by type; a fault is remembered, not thrown. */

import { Buffer } from "node:buffer";
import { EMPTY_BODY } from "../answer.ts";
import type { HeaderFields } from "../payload.ts";

/** Takes fields in order and remembers whether one was of another type. */
export interface FieldReader {
  readonly readString: () => string;
  readonly readNumber: () => number;
  readonly readBoolean: () => boolean;
  readonly readBytes: () => Buffer;
  readonly readStrings: () => readonly string[];
  readonly readHeaders: () => HeaderFields;
  readonly readList: () => FieldReader | undefined;
  readonly isValid: () => boolean;
}

function isFields(value: unknown): value is HeaderFields {
  if (typeof value !== "object" || value === null) return false;
  return Object.values(value).every((text) => typeof text === "string");
}

function isTexts(value: unknown): value is readonly string[] {
  return Array.isArray(value) &&
    value.every((text) => typeof text === "string");
}

/** Creates a reader at the first field. */
export function createFieldReader(values: readonly unknown[]): FieldReader {
  let index = 0;
  let valid = true;
  let lists: readonly FieldReader[] = [];

  function next(): unknown {
    return values[index++];
  }

  function fault<Value>(fallback: Value): Value {
    valid = false;
    return fallback;
  }

  return {
    readString: () => {
      const value = next();
      return typeof value === "string" ? value : fault("");
    },
    readNumber: () => {
      const value = next();
      const fits = typeof value === "number" && value >= 0;
      return fits ? value : fault(0);
    },
    readBoolean: () => {
      const value = next();
      return typeof value === "boolean" ? value : fault(false);
    },
    readBytes: () => {
      const value = next();
      return value instanceof Uint8Array
        ? Buffer.from(value.buffer, value.byteOffset, value.byteLength)
        : fault(EMPTY_BODY);
    },
    readStrings: () => {
      const value = next();
      return isTexts(value) ? value : fault([]);
    },
    readHeaders: () => {
      const value = next();
      return isFields(value) ? value : fault({});
    },
    readList: () => {
      const value = next();
      if (value === null) return undefined;
      if (!Array.isArray(value)) return fault(undefined);
      const reader = createFieldReader(value);
      lists = [...lists, reader];
      return reader;
    },
    isValid: () => valid && lists.every((list) => list.isValid()),
  };
}
