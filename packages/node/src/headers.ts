/** Headers of calls and answers in the native protocol. */

import {
  type Outcome,
  type RefusalReason,
  refused,
  unknown,
  type UnknownReason,
} from "@coltsfootdeal/policy";

/** Header names, in lower case. */
export const HEADER = {
  account: "coltsfootdeal-account",
  caller: "coltsfootdeal-caller",
  request: "coltsfootdeal-request",
  attempt: "coltsfootdeal-attempt",
  deadline: "coltsfootdeal-deadline-ms",
  ticket: "coltsfootdeal-ticket",
  parent: "coltsfootdeal-parent",
  call: "coltsfootdeal-call",
  outcome: "coltsfootdeal-outcome",
  reason: "coltsfootdeal-reason",
  retryAfter: "coltsfootdeal-retry-after-ms",
  status: "coltsfootdeal-status",
  instance: "coltsfootdeal-instance",
  incarnation: "coltsfootdeal-incarnation",
} as const;

/**
 * Value of the reason header for a run that failed after a nested call was
 * refused, starved or not answered in time.
 */
export const STARVED_REASON = "starved";

/** Parses up to 12 decimal digits; undefined for any other text. */
export function parseWholeNumber(
  text: string | null | undefined,
): number | undefined {
  if (text === null || text === undefined) return undefined;
  return /^\d{1,12}$/.test(text) ? Number(text) : undefined;
}

/** Encodes an outcome as headers. */
export function encodeOutcomeHeaders(outcome: Outcome): Record<string, string> {
  switch (outcome.kind) {
    case "answered":
      return { [HEADER.outcome]: outcome.kind };
    case "failed":
      return {
        [HEADER.outcome]: outcome.kind,
        ...(outcome.starved ? { [HEADER.reason]: STARVED_REASON } : {}),
      };
    case "unknown":
      return {
        [HEADER.outcome]: outcome.kind,
        [HEADER.reason]: outcome.reason,
      };
    case "refused":
      return {
        [HEADER.outcome]: outcome.kind,
        [HEADER.reason]: outcome.reason,
        [HEADER.retryAfter]: String(Math.ceil(outcome.retryAfterMs)),
      };
  }
}

/**
 * Decodes the outcome from a node's answer. Headers without a known outcome
 * mean that it is unknown whether the call ran.
 */
export function parseOutcome(
  headers: Readonly<Record<string, string>>,
): Outcome {
  const reason = headers[HEADER.reason] ?? "";
  switch (headers[HEADER.outcome]) {
    case "answered":
      return { kind: "answered" };
    case "failed":
      return { kind: "failed", starved: reason === STARVED_REASON };
    case "refused": {
      const retryAfterMs = parseWholeNumber(headers[HEADER.retryAfter]) ?? 0;
      return refused(reason as RefusalReason, retryAfterMs);
    }
    default:
      return unknown((reason || "connection_lost") as UnknownReason);
  }
}
