/** Retry budgets: limit retries to a ratio of first attempts, per key. */

import { RETRY_BURST, RETRY_RATIO } from "./constants.ts";

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /**
   * Retries earned by a first attempt; evaluated at each use.
   * @default RETRY_RATIO
   */
  readonly ratio?: () => number;
  /**
   * Capacity of a bucket in retries; evaluated at each use.
   * @default RETRY_BURST
   */
  readonly burst?: () => number;
  /**
   * Number of buckets kept; the least recently used one is dropped first.
   * @default 10000
   */
  readonly maxKeys?: number;
}

/** Token buckets by key, which is a caller or a service. */
export interface RetryBudget {
  /** Adds the tokens that a first attempt earns. */
  readonly deposit: (key: string) => void;
  /**
   * Takes the tokens of a retry; false if less than one token is left. A `cost`
   * above the balance leaves a negative balance.
   */
  readonly withdraw: (key: string, cost?: number) => boolean;
}

/** Creates retry budgets whose buckets start full. */
export function createRetryBudget(
  options: RetryBudgetOptions = {},
): RetryBudget {
  const ratio = options.ratio ?? (() => RETRY_RATIO);
  const burst = options.burst ?? (() => RETRY_BURST);
  const maxKeys = options.maxKeys ?? 10_000;
  const tokens = new Map<string, number>();

  function setBalance(key: string, amount: number): void {
    tokens.delete(key);
    tokens.set(key, Math.min(burst(), amount));
    if (tokens.size <= maxKeys) return;
    const oldest = tokens.keys().next();
    if (!oldest.done) tokens.delete(oldest.value);
  }

  return {
    deposit: (key) => setBalance(key, (tokens.get(key) ?? burst()) + ratio()),
    withdraw: (key, cost = 1) => {
      const balance = tokens.get(key) ?? burst();
      if (balance < 1) return false;
      setBalance(key, balance - cost);
      return true;
    },
  };
}
