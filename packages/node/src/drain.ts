/** The wait of a stopping node for what is in flight. */

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
  /** Time until the process is killed; undefined if it is not. */
  readonly graceMs: number | undefined;
  /**
   * Time in which new requests are still taken, without a grace period.
   * @default DRAIN_QUIET_MS
   */
  readonly listenMs: number | undefined;
  readonly isBusy: () => boolean;
  /** Told when new requests could not be answered in time any more. */
  readonly onListenTimeElapsed: () => void;
}

/** Resolves when nothing is in flight, or when the grace period runs out. */
export async function drainUntilIdle(config: DrainConfig): Promise<void> {
  const { clock, graceMs, isBusy } = config;
  const startedAt = clock.now();
  const quietMs = graceMs === undefined
    ? config.listenMs ?? DRAIN_LISTEN_MS
    : graceMs * DRAIN_LISTEN_SHARE;
  const limitMs = (graceMs ?? Infinity) * DRAIN_MAX_SHARE;
  const elapsedMs = () => clock.now() - startedAt;
  const poll = () =>
    new Promise<void>((resolve) => clock.after(DRAIN_POLL_PERIOD_MS, resolve));
  while (elapsedMs() < quietMs) await poll();
  config.onListenTimeElapsed();
  while (elapsedMs() < limitMs && isBusy()) await poll();
}
