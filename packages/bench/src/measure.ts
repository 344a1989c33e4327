/** Small tools of the measurements in real time. */

import process from "node:process";

/** Percentiles of a list of numbers. */
export interface Percentiles {
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
}

/** Computes percentiles. */
export function percentilesOf(values: readonly number[]): Percentiles {
  const sorted = [...values].sort((a, b) => a - b);
  const at = (share: number) =>
    sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ??
      0;
  return { p50: at(0.5), p99: at(0.99), max: at(1) };
}

/** Average time of a function in microseconds, after a warm-up. */
export function timeOf(run: (index: number) => void, times: number): number {
  for (let index = 0; index < times / 10; index++) run(index);
  const startedAt = performance.now();
  for (let index = 0; index < times; index++) run(index);
  return ((performance.now() - startedAt) * 1_000) / times;
}

/** Heap that building something keeps, in bytes; needs `--expose-gc`. */
export function heapOf<Built>(build: () => Built): {
  readonly built: Built;
  readonly bytes: number;
} {
  const collect = (globalThis as { gc?: () => void }).gc ?? (() => {});
  collect();
  const before = process.memoryUsage().heapUsed;
  const built = build();
  collect();
  return { built, bytes: process.memoryUsage().heapUsed - before };
}

/** Slope of a least squares line. */
export function slopeOf(
  points: readonly { readonly x: number; readonly y: number }[],
): { readonly slope: number; readonly base: number } {
  const count = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
  let over = 0;
  let under = 0;
  for (const { x, y } of points) {
    over += (x - meanX) * (y - meanY);
    under += (x - meanX) ** 2;
  }
  const slope = under === 0 ? 0 : over / under;
  return { slope, base: meanY - slope * meanX };
}
