/** The adaptive concurrency limit of one backend server. */

import {
  LIMIT_DECREASE_FACTOR,
  LIMIT_DECREASE_INTERVAL_MS,
} from "./constants.ts";

/** Observation from one finished run. */
export interface LimitSample {
  /** Runs in flight just before this one finished. */
  readonly inFlight: number;
  /** Whether the backend server shed the call. */
  readonly overloaded: boolean;
}

/** A concurrency limit between 1 and the number of slots. */
export interface ConcurrencyLimit {
  /** The number of runs that may be in flight. */
  readonly current: () => number;
  /** Adjusts the limit after a finished run. */
  readonly observe: (sample: LimitSample, now: number) => void;
  /** Sets the limit to a quarter of the slots, for a cold backend server. */
  readonly reset: () => void;
  /** Applies a new number of slots. */
  readonly resize: (slots: number) => void;
}

/**
 * Creates a limit with additive increase and multiplicative decrease. While at
 * least half of it is in use, it grows by about one per `limit` successful
 * runs; it shrinks by a factor when the backend server sheds a call, but not
 * below `minShare` of the slots. Latency alone does not shrink it: a call that
 * waits for a slow nested call is slow at any limit, and a lower limit would
 * only reduce throughput.
 */
export function createConcurrencyLimit(
  initialSlots: number,
  minShare = 0,
): ConcurrencyLimit {
  let slots = initialSlots;
  let limit = initialSlots;
  let decreasedAt = -Infinity;

  function decrease(inFlight: number, now: number): void {
    if (now - decreasedAt < LIMIT_DECREASE_INTERVAL_MS) return;
    decreasedAt = now;
    const base = Math.min(limit, Math.max(1, inFlight));
    limit = Math.max(1, slots * minShare, base * LIMIT_DECREASE_FACTOR);
  }

  function increase(inFlight: number): void {
    const inUse = inFlight >= Math.floor(limit) / 2;
    if (inUse) limit = Math.min(slots, limit + 1 / limit);
  }

  return {
    // The summand compensates for rounding errors of the increments.
    current: () => Math.max(1, Math.floor(limit + 1e-9)),
    observe: (sample, now) => {
      if (sample.overloaded) decrease(sample.inFlight, now);
      else increase(sample.inFlight);
    },
    reset: () => {
      limit = Math.max(1, slots / 4);
    },
    resize: (next) => {
      const unlimited = limit >= slots;
      slots = next;
      limit = unlimited ? next : Math.min(limit, next);
    },
  };
}
