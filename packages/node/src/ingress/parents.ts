/**
 * Tells calls further down from callers' requests where neither says so. A
 * call ends with the run that makes it, so that its deadline is that of a run
 * in flight. Callers state the same time again and again, and meet a run's
 * deadline only by chance.
 */

import type { RunRegistry } from "../chains.ts";

/** A call as it arrives. */
export interface Arrival {
  /** Service and kind. */
  readonly kind: string;
  /** Remaining time as it was stated, in ms. */
  readonly statedMs: number;
  readonly deadlineAt: number;
}

/** Where a call comes from. */
export type Origination =
  | { readonly kind: "caller" }
  /** A run, which is known if its deadline was met. */
  | { readonly kind: "run"; readonly runId: string | undefined };

/** Infers the runs that make calls. */
export interface Parents {
  readonly infer: (arrival: Arrival) => Origination;
}

/** Weight of a new sample in a kind's share of calls with a parent. */
const SHARE_GAIN = 0.2;
/** Share of a kind that has not been seen. */
const FIRST_SHARE = 0.5;
/** Share from which a kind is taken to be called by runs only. */
const CALLED_SHARE = 0.75;

interface Seen {
  share: number;
  /** Longest time stated, as callers state it with their first try. */
  longestMs: number;
}

/** Creates parents that have seen no call. */
export function createParents(chains: RunRegistry): Parents {
  const kinds = new Map<string, Seen>();
  return {
    infer: ({ kind, statedMs, deadlineAt }) => {
      const known = kinds.get(kind);
      const seen = known ?? { share: FIRST_SHARE, longestMs: statedMs };
      kinds.set(kind, seen);
      const repeated = known !== undefined && statedMs === seen.longestMs;
      seen.longestMs = Math.max(seen.longestMs, statedMs);
      const runId = repeated ? undefined : chains.inferParent(deadlineAt);
      const sample = runId === undefined ? 0 : 1;
      seen.share += SHARE_GAIN * (sample - seen.share);
      if (seen.share < CALLED_SHARE) return { kind: "caller" };
      return { kind: "run", runId };
    },
  };
}
