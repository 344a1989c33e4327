/** Estimates of service time, per kind and over all kinds. */

import { SERVICE_TIME_GAIN } from "./constants.ts";

/** Running averages of service times. */
export interface ServiceTime {
  /** Average of one kind in ms; 0 while nothing is known. */
  readonly averageOfKind: (kind: string) => number;
  /** Average over all kinds in ms; 0 while nothing is known. */
  readonly averageOverall: () => number;
  /** Learns from a finished run. */
  readonly observe: (kind: string, elapsedMs: number) => void;
}

function movingAverage(before: number | undefined, sample: number): number {
  if (before === undefined) return sample;
  return before + SERVICE_TIME_GAIN * (sample - before);
}

/** Creates empty averages. */
export function createServiceTime(): ServiceTime {
  const kinds = new Map<string, number>();
  let all: number | undefined;
  return {
    averageOfKind: (kind) => kinds.get(kind) ?? 0,
    averageOverall: () => all ?? 0,
    observe: (kind, elapsedMs) => {
      kinds.set(kind, movingAverage(kinds.get(kind), elapsedMs));
      all = movingAverage(all, elapsedMs);
    },
  };
}
