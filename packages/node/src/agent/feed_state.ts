/** What feeds share: whether the platform answers, and when to ask it again. */

import { PLATFORM_RETRY_MS } from "../constants.ts";
import type { FeedSinks } from "./feed.ts";

/** Whether the platform answered last. */
export interface Reachability {
  readonly get: () => boolean;
  readonly set: (reachable: boolean, reason: string) => void;
}

/** Tells of each change; unreachable at first. */
export function createReachability(
  onState: FeedSinks["onReachabilityChange"],
): Reachability {
  let reachable = false;
  return {
    get: () => reachable,
    set: (next, reason) => {
      if (reachable === next) return;
      reachable = next;
      onState(next, reason);
    },
  };
}

/** Draws the wait in ms before the platform is asked again after an error. */
export function drawRetryDelay(doublings: number, maxMs: number): number {
  const full = PLATFORM_RETRY_MS * 2 ** Math.min(doublings, 10);
  return Math.min(maxMs, full) * (0.5 + Math.random() / 2);
}
