/** The adaptive concurrency limit of one backend server. */

import {
  LIMIT_DECREASE_FACTOR,
  LIMIT_DECREASE_INTERVAL_MS,
} from "./constants.ts";

/** What one finished run says about the backend server's capacity. */
export interface LimitSample {
  /** Runs in flight just before this one finished. */
  readonly inFlight: number;
  /** Whether the backend server shed the call or its deadline passed. */
  readonly overloaded: boolean;
}

/** A concurrency limit between 1 and the slots. */
export interface ConcurrencyLimit {
  /** The number of runs that may be in flight. */
  readonly current: () => number;
  /** Learns from a finished run. */
  readonly observe: (sample: LimitSample, now: number) => void;
  /** Starts again from the smallest limit, as for a cold backend server. */
  readonly reset: () => void;
  /** Applies another number of slots. */
  readonly resize: (slots: number) => void;
}

/**
 * Creates a limit that grows by one per limit's worth of good runs while it is
 * in use, and shrinks by a factor when the backend server sheds or times out.
 * Latency alone does not shrink it: a call that waits for a slow service
 * further down is slow at any limit, and fewer slots would only answer fewer.
 */
export function createConcurrencyLimit(
  initialSlots: number,
  floorShare = 0,
): ConcurrencyLimit {
  let slots = initialSlots;
  let limit = initialSlots;
  let decreasedAt = -Infinity;

  function decrease(inFlight: number, now: number): void {
    if (now - decreasedAt < LIMIT_DECREASE_INTERVAL_MS) return;
    decreasedAt = now;
    const base = Math.min(limit, Math.max(1, inFlight));
    limit = Math.max(1, slots * floorShare, base * LIMIT_DECREASE_FACTOR);
  }

  function increase(inFlight: number): void {
    const inUse = inFlight >= Math.floor(limit) / 2;
    if (inUse) limit = Math.min(slots, limit + 1 / limit);
  }

  return {
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
