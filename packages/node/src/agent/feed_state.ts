/** Reachability of the platform and the backoff after errors, for all feeds. */

import { PLATFORM_RETRY_MIN_MS } from "../constants.ts";
import type { FeedSinks } from "./feed.ts";

/** Whether the last request to the platform was answered. */
export interface Reachability {
  readonly get: () => boolean;
  readonly set: (reachable: boolean, reason: string) => void;
}

/** Creates a reachability that reports changes; unreachable at first. */
export function createReachability(
  onChange: FeedSinks["onReachabilityChange"],
): Reachability {
  let reachable = false;
  return {
    get: () => reachable,
    set: (next, reason) => {
      if (reachable === next) return;
      reachable = next;
      onChange(next, reason);
    },
  };
}

/**
 * Draws the wait in ms before the next request after an error: exponential
 * backoff with jitter, between half of the full wait and all of it.
 */
export function drawRetryDelay(exponent: number, maxMs: number): number {
  const fullMs = PLATFORM_RETRY_MIN_MS * 2 ** Math.min(exponent, 10);
  return Math.min(maxMs, fullMs) * (0.5 + Math.random() / 2);
}
