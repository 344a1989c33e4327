/**
 * Throttles kinds of which too many runs have a refused or late nested call.
 * Refuses part of the kind's requests before they take a slot, because about as
 * many would fail in the end. Which ones would is not known, so the refused
 * requests are not exactly these.
 */

import {
  THROTTLE_FAILURE_SHARE_MAX,
  THROTTLE_GROWTH,
  THROTTLE_INTERVAL_MS,
  THROTTLE_RECOVERY_GROWTH,
  THROTTLE_RECOVERY_PERIODS,
  THROTTLE_SHARE_MIN,
} from "./constants.ts";

/** Admits a share of the offered work of each kind. */
export interface Throttle {
  /** Whether the next offered work of the kind is admitted. */
  readonly admit: (kind: string, now: number) => boolean;
  /** Records a finished run, and whether a nested call was refused or late. */
  readonly observe: (
    kind: string,
    nestedRefused: boolean,
    options: { readonly now: number; readonly averageRunMs: number },
  ) => void;
}

interface KindState {
  /** Share of the offered work that is admitted. */
  share: number;
  /** Accumulated share; work is admitted when it reaches 1, which it costs. */
  credit: number;
  /** Runs that ended in this period. */
  finished: number;
  /** Those of the finished runs that had a refused or late nested call. */
  nestedRefused: number;
  /** Start of this period. */
  since: number;
  /**
   * Length of a period in ms, not less than the given average run time, so that
   * a run of average length that starts at an adjustment ends before the next
   * one. Longer runs may still be running then.
   */
  intervalMs: number;
  /**
   * Consecutive periods in which at most `THROTTLE_FAILURE_SHARE_MAX` of the
   * finished runs had a refused or late nested call. A period without finished
   * runs counts as one.
   */
  healthyPeriods: number;
}

function adjust(state: KindState, now: number): void {
  if (now - state.since < state.intervalMs) return;
  const ratio = state.finished === 0 ? 0 : state.nestedRefused / state.finished;
  if (ratio > THROTTLE_FAILURE_SHARE_MAX) {
    state.share = Math.max(THROTTLE_SHARE_MIN, state.share * (1 - ratio));
    state.healthyPeriods = 0;
  } else {
    state.healthyPeriods++;
    // The share grows slowly, by `THROTTLE_GROWTH`, in the first healthy periods
    // and faster, by `THROTTLE_RECOVERY_GROWTH`, once enough have followed.
    const growsFast = state.healthyPeriods >= THROTTLE_RECOVERY_PERIODS;
    const growth = growsFast ? THROTTLE_RECOVERY_GROWTH : THROTTLE_GROWTH;
    state.share = Math.min(1, state.share * growth);
  }
  state.finished = 0;
  state.nestedRefused = 0;
  state.since = now;
}

/**
 * Creates a throttle. It admits all work of a kind until a run of the kind has a
 * refused or late nested call.
 */
export function createThrottle(): Throttle {
  const states = new Map<string, KindState>();
  return {
    admit: (kind, now) => {
      const state = states.get(kind);
      if (state === undefined) return true;
      adjust(state, now);
      if (state.share >= 1) return true;
      state.credit += state.share;
      if (state.credit < 1) return false;
      state.credit -= 1;
      return true;
    },
    observe: (kind, nestedRefused, { now, averageRunMs }) => {
      const known = states.get(kind);
      if (known === undefined && !nestedRefused) return;
      const state = known ??
        {
          share: 1,
          credit: 0,
          finished: 0,
          nestedRefused: 0,
          since: now,
          intervalMs: THROTTLE_INTERVAL_MS,
          healthyPeriods: 0,
        };
      states.set(kind, state);
      state.intervalMs = Math.max(THROTTLE_INTERVAL_MS, averageRunMs);
      state.finished++;
      if (nestedRefused) state.nestedRefused++;
      adjust(state, now);
    },
  };
}
