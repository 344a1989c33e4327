/** Rate limit of one backend server: a token bucket without a queue. */

import { RATE_BURST_MS, RATE_MIN_PER_S } from "./constants.ts";

/** A limit on how many calls per second are sent. */
export interface RateLimit {
  /** Sets the rate in calls per second; undefined removes the limit. */
  readonly set: (callsPerS: number | undefined, now: number) => void;
  /** Whether a call may be sent now. */
  readonly allows: (now: number) => boolean;
  /** Counts a call that is sent. */
  readonly take: (now: number) => void;
  /** Time in ms until a call may be sent that `ahead` others precede. */
  readonly waitMs: (ahead: number, now: number) => number;
  /** Time in ms between two calls at the limit; 0 without a limit. */
  readonly intervalMs: () => number;
}

/** Creates a rate limit that is not set. */
export function createRateLimit(): RateLimit {
  let rate: number | undefined;
  let tokens = 0;
  let refilledAt = 0;

  function refill(callsPerS: number, now: number): void {
    const burst = Math.max(1, (callsPerS * RATE_BURST_MS) / 1_000);
    const earned = ((now - refilledAt) * callsPerS) / 1_000;
    tokens = Math.min(burst, tokens + earned);
    refilledAt = now;
  }

  return {
    set: (callsPerS, now) => {
      const next = callsPerS === undefined
        ? undefined
        : Math.max(RATE_MIN_PER_S, callsPerS);
      if (rate === undefined) {
        tokens = 1;
        refilledAt = now;
      } else {
        refill(rate, now);
      }
      rate = next;
    },
    allows: (now) => {
      if (rate === undefined) return true;
      refill(rate, now);
      return tokens >= 1;
    },
    take: (now) => {
      if (rate === undefined) return;
      refill(rate, now);
      tokens--;
    },
    waitMs: (ahead, now) => {
      if (rate === undefined) return 0;
      refill(rate, now);
      return Math.max(0, ((ahead + 1 - tokens) / rate) * 1_000);
    },
    intervalMs: () => rate === undefined ? 0 : 1_000 / rate,
  };
}
