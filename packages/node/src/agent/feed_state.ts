/**
 * What all feeds have in common: reachability of the platform, the end of calls
 * that wait on dead connections, and the backoff after errors.
 */

import type { Clock, Timer } from "@coltsfootdeal/kernel";
import { PLATFORM_RETRY_MIN_MS, WATCH_BEHIND_MAX_MS } from "../constants.ts";
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

/**
 * Ends a call that waits for changes although one is known from elsewhere: its
 * connection does not carry answers any more.
 */
export interface WatchGuard {
  /** Begins a call after a position; its signal ends it. */
  readonly begin: (after: number) => AbortSignal;
  /** Records that the call has ended. */
  readonly end: () => void;
  /** Records that all changes up to a position are known. */
  readonly advance: (position: number) => void;
  /** Ends the call at once; no effect if none is waiting. */
  readonly interrupt: () => void;
}

/** Creates a guard of no call. `onBehind` is called when it ends one. */
export function createWatchGuard(
  clock: Clock,
  onBehind: () => void,
): WatchGuard {
  let after = 0;
  let call: AbortController | undefined;
  let timer: Timer | undefined;

  function end(): void {
    timer?.close();
    timer = undefined;
    call = undefined;
  }

  function interrupt(): void {
    call?.abort();
    end();
  }

  return {
    begin: (position) => {
      end();
      after = position;
      call = new AbortController();
      return call.signal;
    },
    end,
    advance: (position) => {
      if (call === undefined || position <= after) return;
      timer ??= clock.after(WATCH_BEHIND_MAX_MS, () => {
        onBehind();
        interrupt();
      });
    },
    interrupt,
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
