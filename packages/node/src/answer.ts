/** Answers as they pass through a node: whole bodies and their outcome. */

import { Buffer } from "node:buffer";
import type { Outcome } from "@coltsfootdeal/policy";
import type { HeaderFields } from "./payload.ts";

/** A whole answer. */
export interface Answer {
  readonly outcome: Outcome;
  /** Status that the backend server gave, if it gave one. */
  readonly status: number | undefined;
  /** Headers that the backend server gave and that callers get. */
  readonly headers: HeaderFields;
  readonly body: Buffer;
}

/** The body of an answer that has none. */
export const EMPTY_BODY = Buffer.alloc(0);

/** An answer that states an outcome without a body of the backend server. */
export function createEmptyAnswer(outcome: Outcome): Answer {
  return { outcome, status: undefined, headers: {}, body: EMPTY_BODY };
}
