/** Helpers to measure time and memory, and to summarize the figures. */

import process from "node:process";

/** Percentiles of a list of numbers. */
export interface Percentiles {
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
}

/** Computes percentiles; all are 0 for an empty list. */
export function percentilesOf(values: readonly number[]): Percentiles {
  const sorted = [...values].sort((a, b) => a - b);
  const at = (share: number) =>
    sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ??
      0;
  return { p50: at(0.5), p99: at(0.99), max: at(1) };
}

/** Average duration of `run` in microseconds, after a warm-up. */
export function averageMicroseconds(
  run: (index: number) => void,
  times: number,
): number {
  for (let index = 0; index < times / 10; index++) run(index);
  const startedAt = performance.now();
  for (let index = 0; index < times; index++) run(index);
  return ((performance.now() - startedAt) * 1_000) / times;
}

/**
 * Heap that a built value retains, in bytes. Needs `--expose-gc`: without it the
 * garbage collector is not run, and the figure includes garbage.
 */
export function measureHeap<Built>(build: () => Built): {
  readonly built: Built;
  readonly bytes: number;
} {
  const collectGarbage = (globalThis as { gc?: () => void }).gc ?? (() => {});
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const built = build();
  collectGarbage();
  return { built, bytes: process.memoryUsage().heapUsed - before };
}

/** Fits a line to points by least squares. */
export function fitLine(
  points: readonly { readonly x: number; readonly y: number }[],
): { readonly slope: number; readonly base: number } {
  const count = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const { x, y } of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  const slope = variance === 0 ? 0 : covariance / variance;
  return { slope, base: meanY - slope * meanX };
}
