/**
 * Infers the parent run of a call where requests do not carry its id. A nested
 * call has about the deadline of the run that makes it, so it matches a run in
 * flight. Requests of callers mostly state the same remaining time, and match
 * the deadline of a run only by chance.
 */

import type { RunRegistry } from "../chains.ts";

/** What is known of a call on arrival. */
export interface IncomingCall {
  /** Service and kind, as `service/kind`. */
  readonly kind: string;
  /** Remaining time that the request states, in ms. */
  readonly requestedDeadlineMs: number;
  readonly deadlineAt: number;
}

/** Whether a call is a caller's request or is nested in a run. */
export type CallOrigin =
  | { readonly kind: "caller" }
  /** `runId` is undefined if the call matches no run in flight. */
  | { readonly kind: "run"; readonly runId: string | undefined };

/** Infers the origin of calls from their deadlines. */
export interface ParentInference {
  readonly infer: (call: IncomingCall) => CallOrigin;
}

/** Weight of a new sample in the moving average of a kind's nested share. */
const NESTED_SHARE_SMOOTHING = 0.2;
/** Nested share of a kind before its first call. */
const INITIAL_NESTED_SHARE = 0.5;
/** Nested share from which all calls of a kind count as nested. */
const NESTED_SHARE_THRESHOLD = 0.75;

interface KindStats {
  /** Moving average of the share of calls that match a run, from 0 to 1. */
  nestedShare: number;
  /**
   * Longest remaining time stated so far, in ms. Callers state it on the first
   * try of each request.
   */
  longestDeadlineMs: number;
}

/** Creates an inference without samples. */
export function createParentInference(
  runRegistry: RunRegistry,
): ParentInference {
  const kinds = new Map<string, KindStats>();
  return {
    infer: ({ kind, requestedDeadlineMs, deadlineAt }) => {
      const known = kinds.get(kind);
      const stats = known ?? {
        nestedShare: INITIAL_NESTED_SHARE,
        longestDeadlineMs: requestedDeadlineMs,
      };
      kinds.set(kind, stats);
      // A call that repeats the longest stated time is not matched with a run,
      // since it is probably the first try of a caller's request.
      const repeated = known !== undefined &&
        requestedDeadlineMs === stats.longestDeadlineMs;
      stats.longestDeadlineMs = Math.max(
        stats.longestDeadlineMs,
        requestedDeadlineMs,
      );
      const runId = repeated ? undefined : runRegistry.inferParent(deadlineAt);
      const sample = runId === undefined ? 0 : 1;
      stats.nestedShare += NESTED_SHARE_SMOOTHING *
        (sample - stats.nestedShare);
      if (stats.nestedShare < NESTED_SHARE_THRESHOLD) return { kind: "caller" };
      return { kind: "run", runId };
    },
  };
}
