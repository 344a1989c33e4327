/** Waits for the calls in flight when a node shuts down. */

import type { Clock } from "@coltsfootdeal/kernel";
import {
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
 * Resolves when the listen time has passed and no call is in flight, at the
 * latest shortly before the grace period ends.
 */
export async function drainUntilIdle(config: DrainConfig): Promise<void> {
  const { clock, graceMs, isBusy } = config;
  const startedAt = clock.now();
  const listenMs = graceMs === undefined
    ? config.listenMs ?? DRAIN_LISTEN_MS
    : graceMs * DRAIN_LISTEN_SHARE;
  const maxMs = (graceMs ?? Infinity) * DRAIN_MAX_SHARE;
  const elapsedMs = () => clock.now() - startedAt;
  const poll = () =>
    new Promise<void>((resolve) => clock.after(DRAIN_POLL_PERIOD_MS, resolve));
  while (elapsedMs() < listenMs) await poll();
  config.onListenTimeElapsed();
  while (elapsedMs() < maxMs && isBusy()) await poll();
}
