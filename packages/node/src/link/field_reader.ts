/** Typed access to the positional fields of a decoded message. */

import { Buffer } from "node:buffer";
import { EMPTY_BODY } from "../answer.ts";
import type { HeaderFields } from "../payload.ts";

/**
 * Reads fields in order. A field of an unexpected type does not throw: the
 * reader returns an empty value and `isValid` is false from then on.
 */
export interface FieldReader {
  readonly readString: () => string;
  /** Reads a number that is not negative. */
  readonly readNumber: () => number;
  /** Reads a number that is not negative; undefined if the field is null. */
  readonly readOptionalNumber: () => number | undefined;
  readonly readBoolean: () => boolean;
  /** Reads a byte array; the buffer shares its memory. */
  readonly readBytes: () => Buffer;
  readonly readStrings: () => readonly string[];
  /** Reads an object whose values are all strings. */
  readonly readHeaders: () => HeaderFields;
  /**
   * Returns a reader of a list; undefined if the field is not a list. Null and
   * a field that an earlier version does not send are valid.
   */
  readonly readList: () => FieldReader | undefined;
  /** Whether this reader and those of its lists met only expected types. */
  readonly isValid: () => boolean;
}

function isHeaderFields(value: unknown): value is HeaderFields {
  if (typeof value !== "object" || value === null) return false;
  return Object.values(value).every((item) => typeof item === "string");
}

function isStringArray(value: unknown): value is readonly string[] {
  return Array.isArray(value) &&
    value.every((item) => typeof item === "string");
}

/** Creates a reader that starts at the first of the values. */
export function createFieldReader(values: readonly unknown[]): FieldReader {
  let index = 0;
  let valid = true;
  let listReaders: readonly FieldReader[] = [];

  function next(): unknown {
    return values[index++];
  }

  function reject<Value>(fallback: Value): Value {
    valid = false;
    return fallback;
  }

  function toNumber(value: unknown): number {
    const isNonNegative = typeof value === "number" && value >= 0;
    return isNonNegative ? value : reject(0);
  }

  return {
    readString: () => {
      const value = next();
      return typeof value === "string" ? value : reject("");
    },
    readNumber: () => toNumber(next()),
    readOptionalNumber: () => {
      const value = next();
      return value === null ? undefined : toNumber(value);
    },
    readBoolean: () => {
      const value = next();
      return typeof value === "boolean" ? value : reject(false);
    },
    readBytes: () => {
      const value = next();
      return value instanceof Uint8Array
        ? Buffer.from(value.buffer, value.byteOffset, value.byteLength)
        : reject(EMPTY_BODY);
    },
    readStrings: () => {
      const value = next();
      return isStringArray(value) ? value : reject([]);
    },
    readHeaders: () => {
      const value = next();
      return isHeaderFields(value) ? value : reject({});
    },
    readList: () => {
      const value = next();
      if (value === null || value === undefined) return undefined;
      if (!Array.isArray(value)) return reject(undefined);
      const reader = createFieldReader(value);
      listReaders = [...listReaders, reader];
      return reader;
    },
    isValid: () => valid && listReaders.every((list) => list.isValid()),
  };
}
