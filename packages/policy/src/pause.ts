/** Detects pauses of the process. */

import { PAUSE_GAP_MIN_MS } from "./constants.ts";

/** Detects pauses from the gaps between ticks. */
export interface PauseDetector {
  /** Records a tick; returns the length in ms of a pause before it, or 0. */
  readonly tick: (now: number) => number;
}

/** Creates a detector for ticks that come every `periodMs`. */
export function createPauseDetector(periodMs: number): PauseDetector {
  let last: number | undefined;
  return {
    tick: (now) => {
      const gap = last === undefined ? 0 : now - last - periodMs;
      last = now;
      return gap >= PAUSE_GAP_MIN_MS ? gap : 0;
    },
  };
}
