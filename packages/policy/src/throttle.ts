/**
 * Throttles kinds whose calls further down are refused: a request that will
 * fail in the end is better refused before it takes a slot.
 */

import {
  THROTTLE_FAILURE_SHARE_MAX,
  THROTTLE_GROWTH,
  THROTTLE_INTERVAL_MS,
  THROTTLE_RECOVERY_GROWTH,
  THROTTLE_RECOVERY_PERIODS,
  THROTTLE_SHARE_MIN,
} from "./constants.ts";

/** Shares of the offered work that are let through, by kind. */
export interface Throttle {
  /** Whether the next offer of the kind is let through. */
  readonly admit: (kind: string, now: number) => boolean;
  /** Records a finished run, and whether a call further down was refused. */
  readonly observe: (
    kind: string,
    nestedRefused: boolean,
    options: { readonly now: number; readonly usualMs: number },
  ) => void;
}

interface KindState {
  share: number;
  /** Fraction of an admission that is saved up. */
  credit: number;
  finished: number;
  starved: number;
  since: number;
  /** Period of adjustments: what was admitted must have ended by then. */
  intervalMs: number;
  /** Periods in a row without failures further down. */
  healthyPeriods: number;
}

function adjust(state: KindState, now: number): void {
  if (now - state.since < state.intervalMs) return;
  const ratio = state.finished === 0 ? 0 : state.starved / state.finished;
  if (ratio > THROTTLE_FAILURE_SHARE_MAX) {
    state.share = Math.max(THROTTLE_SHARE_MIN, state.share * (1 - ratio));
    state.healthyPeriods = 0;
  } else {
    state.healthyPeriods++;
    const calm = state.healthyPeriods >= THROTTLE_RECOVERY_PERIODS;
    const growth = calm ? THROTTLE_RECOVERY_GROWTH : THROTTLE_GROWTH;
    state.share = Math.min(1, state.share * growth);
  }
  state.finished = 0;
  state.starved = 0;
  state.since = now;
}

/** Creates a throttle that lets everything through. */
export function createThrottle(): Throttle {
  const states = new Map<string, KindState>();
  return {
    admit: (kind, now) => {
      const state = states.get(kind);
      if (state === undefined) return true;
      adjust(state, now);
      if (state.share >= 1) return true;
      state.credit = Math.min(1, state.credit + state.share);
      if (state.credit < 1) return false;
      state.credit -= 1;
      return true;
    },
    observe: (kind, starved, { now, usualMs }) => {
      const known = states.get(kind);
      if (known === undefined && !starved) return;
      const state = known ??
        {
          share: 1,
          credit: 0,
          finished: 0,
          starved: 0,
          since: now,
          intervalMs: THROTTLE_INTERVAL_MS,
          healthyPeriods: 0,
        };
      states.set(kind, state);
      state.intervalMs = Math.max(THROTTLE_INTERVAL_MS, usualMs);
      state.finished++;
      if (starved) state.starved++;
      adjust(state, now);
    },
  };
}
