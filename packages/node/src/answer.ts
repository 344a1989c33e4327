/** Answers to calls, with their outcome and whole body. */

import { Buffer } from "node:buffer";
import type { Outcome } from "@coltsfootdeal/policy";
import type { HeaderFields } from "./payload.ts";

/** Answer to a call. */
export interface Answer {
  readonly outcome: Outcome;
  /** HTTP status of the backend server; undefined if it sent none. */
  readonly status: number | undefined;
  /** Headers of the backend server that are passed to the caller. */
  readonly headers: HeaderFields;
  readonly body: Buffer;
}

/** Body of an answer without content. */
export const EMPTY_BODY = Buffer.alloc(0);

/** Creates an answer with an outcome and no response of a backend server. */
export function createEmptyAnswer(outcome: Outcome): Answer {
  return { outcome, status: undefined, headers: {}, body: EMPTY_BODY };
}
