/** Answers as they pass through a node: whole bodies and their outcome. */

import { Buffer } from "node:buffer";
import type { Outcome } from "@coltsfootdeal/policy";

/** A whole answer. */
export interface Answer {
  readonly outcome: Outcome;
  /** Status that the backend server gave, if it gave one. */
  readonly status: number | undefined;
  readonly contentType: string | undefined;
  readonly body: Buffer;
}

/** The body of an answer that has none. */
export const NO_BODY = Buffer.alloc(0);

/** An answer that states an outcome without a body of the backend server. */
export function bareAnswer(outcome: Outcome): Answer {
  return { outcome, status: undefined, contentType: undefined, body: NO_BODY };
}
