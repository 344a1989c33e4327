/** Exponentially weighted moving averages of run times (service times). */

import { SERVICE_TIME_GAIN } from "./constants.ts";

/** Moving averages of the times that runs take at the backend server. */
export interface ServiceTime {
  /** Average of one kind in ms; 0 without a sample. */
  readonly averageOfKind: (kind: string) => number;
  /** Average over all kinds in ms; 0 without a sample. */
  readonly averageOverall: () => number;
  /** Adds the time that a finished run took. */
  readonly observe: (kind: string, elapsedMs: number) => void;
}

function movingAverage(before: number | undefined, sample: number): number {
  if (before === undefined) return sample;
  return before + SERVICE_TIME_GAIN * (sample - before);
}

/** Creates empty averages. */
export function createServiceTime(): ServiceTime {
  const kinds = new Map<string, number>();
  let overall: number | undefined;
  return {
    averageOfKind: (kind) => kinds.get(kind) ?? 0,
    averageOverall: () => overall ?? 0,
    observe: (kind, elapsedMs) => {
      kinds.set(kind, movingAverage(kinds.get(kind), elapsedMs));
      overall = movingAverage(overall, elapsedMs);
    },
  };
}
