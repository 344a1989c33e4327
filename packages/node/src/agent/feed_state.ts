/** Reachability of the platform and the backoff after errors, for all feeds. */

import type { Clock } from "@coltsfootdeal/kernel";
import { PLATFORM_ANSWER_MS, PLATFORM_RETRY_MIN_MS } from "../constants.ts";
import type { FeedSinks } from "./feed.ts";

/** Whether the last request to the platform was answered. */
export interface Reachability {
  readonly get: () => boolean;
  /** Time of the latest answer; undefined before the first. */
  readonly answeredAt: () => number | undefined;
  readonly set: (reachable: boolean, reason: string) => void;
}

/** Creates a reachability that reports changes; unreachable at first. */
export function createReachability(
  clock: Clock,
  onChange: FeedSinks["onReachabilityChange"],
): Reachability {
  let reachable = false;
  let answeredAt: number | undefined;
  return {
    get: () => reachable,
    answeredAt: () => answeredAt,
    set: (next, reason) => {
      if (next) answeredAt = clock.now();
      if (reachable === next) return;
      reachable = next;
      onChange(next, reason);
    },
  };
}

/** Progress of calls that wait for changes. All times are in ms. */
export interface WatchProgress {
  /** Records that a call which waits for changes was sent. */
  readonly recordWait: (now: number) => void;
  /** Records the end of that call without an answer. */
  readonly recordFailure: () => void;
  /** Records an answer to a call that was sent at `sentAt`. */
  readonly recordAnswer: (sentAt: number, now: number) => void;
  /** Time up to which all changes are known; undefined before the first. */
  readonly confirmedAt: (now: number) => number | undefined;
}

/** Creates a progress without any answer. */
export function createWatchProgress(): WatchProgress {
  let waitsSince: number | undefined;
  let answeredAt: number | undefined;
  return {
    recordWait: (now) => {
      waitsSince = now;
    },
    recordFailure: () => {
      waitsSince = undefined;
    },
    recordAnswer: (sentAt, now) => {
      waitsSince = undefined;
      answeredAt = Math.max(sentAt, now - PLATFORM_ANSWER_MS);
    },
    confirmedAt: (now) => {
      // The platform answers as soon as there is a change.
      const waited = now - PLATFORM_ANSWER_MS;
      const hasWaited = waitsSince !== undefined && waited >= waitsSince;
      return hasWaited ? waited : answeredAt;
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
