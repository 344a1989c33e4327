/** Retry budgets: retries as a ratio of first attempts, per key. */

import { RETRY_BURST, RETRY_RATIO } from "./constants.ts";

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /**
   * Retries earned by a first attempt; asked at each use.
   * @default RETRY_RATIO
   */
  readonly ratio?: () => number;
  /**
   * Retries that can be saved up; asked at each use.
   * @default RETRY_BURST
   */
  readonly burst?: () => number;
  /**
   * Keys remembered; the least recently used one is forgotten first.
   * @default 10000
   */
  readonly maxKeys?: number;
}

/** Token buckets by key (a caller, or a service). */
export interface RetryBudget {
  /** Counts a first attempt. */
  readonly deposit: (key: string) => void;
  /**
   * Takes a retry; false if the budget is spent. One that costs more than a
   * first attempt of its own leaves a debt.
   */
  readonly withdraw: (key: string, cost?: number) => boolean;
}

/** Creates retry budgets that start full. */
export function createRetryBudget(
  options: RetryBudgetOptions = {},
): RetryBudget {
  const ratio = options.ratio ?? (() => RETRY_RATIO);
  const burst = options.burst ?? (() => RETRY_BURST);
  const keys = options.maxKeys ?? 10_000;
  const tokens = new Map<string, number>();

  function store(key: string, amount: number): void {
    tokens.delete(key);
    tokens.set(key, Math.min(burst(), amount));
    if (tokens.size <= keys) return;
    const oldest = tokens.keys().next();
    if (!oldest.done) tokens.delete(oldest.value);
  }

  return {
    deposit: (key) => store(key, (tokens.get(key) ?? burst()) + ratio()),
    withdraw: (key, cost = 1) => {
      const left = tokens.get(key) ?? burst();
      if (left < 1) return false;
      store(key, left - cost);
      return true;
    },
  };
}
