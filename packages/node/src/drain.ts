/** Waits for the calls in flight when a node shuts down. */

import type { Clock } from "@coltsfootdeal/kernel";
import {
  DRAIN_LATE_POLL_MS,
  DRAIN_LISTEN_MS,
  DRAIN_LISTEN_SHARE,
  DRAIN_MAX_SHARE,
  DRAIN_POLL_PERIOD_MS,
} from "./constants.ts";

/** Resolved configuration of a drain. */
export interface DrainConfig {
  readonly clock: Clock;
  /** Time until the process is killed, in ms; undefined without a limit. */
  readonly graceMs: number | undefined;
  /**
   * Time for which the node still listens and refuses new calls, in ms. Has no
   * effect with a grace period: a share of that applies instead.
   * @default DRAIN_LISTEN_MS
   */
  readonly listenMs: number | undefined;
  /** Whether calls are in flight. */
  readonly isBusy: () => boolean;
  /** Called when new requests may no longer be answered in time. */
  readonly onListenTimeElapsed: () => void;
}

/**
 * Resolves with true when the listen time has passed and no call is in flight;
 * with false shortly before the grace period ends, if that comes first.
 */
export async function drainUntilIdle(config: DrainConfig): Promise<boolean> {
  const { clock, graceMs, isBusy } = config;
  const startedAt = clock.now();
  const listenMs = graceMs === undefined
    ? config.listenMs ?? DRAIN_LISTEN_MS
    : graceMs * DRAIN_LISTEN_SHARE;
  const maxMs = (graceMs ?? Infinity) * DRAIN_MAX_SHARE;
  const elapsedMs = () => clock.now() - startedAt;

  /** Waits for the next check; false if the process was held up meanwhile. */
  async function waitForCheck(): Promise<boolean> {
    const dueAt = clock.now() + DRAIN_POLL_PERIOD_MS;
    await new Promise<void>((resolve) =>
      clock.after(DRAIN_POLL_PERIOD_MS, resolve)
    );
    return clock.now() - dueAt < DRAIN_LATE_POLL_MS;
  }

  while (elapsedMs() < listenMs) await waitForCheck();
  config.onListenTimeElapsed();
  let isIdle = false;
  while (elapsedMs() < maxMs && !isIdle) {
    // A process that was held up has not read what came meanwhile.
    const isOnTime = await waitForCheck();
    isIdle = isOnTime && !isBusy();
  }
  return isIdle;
}
