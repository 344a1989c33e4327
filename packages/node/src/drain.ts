/** The wait of a stopping node for what is in flight. */

import type { Clock } from "@coltsfootdeal/kernel";
import {
  DRAIN_LIMIT_SHARE,
  DRAIN_POLL_MS,
  DRAIN_QUIET_MS,
  DRAIN_QUIET_SHARE,
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
  readonly quietMs: number | undefined;
  readonly isBusy: () => boolean;
  /** Told when new requests could not be answered in time any more. */
  readonly onEnding: () => void;
}

/** Resolves when nothing is in flight, or when the grace period runs out. */
export async function drainUntilIdle(config: DrainConfig): Promise<void> {
  const { clock, graceMs, isBusy } = config;
  const startedAt = clock.now();
  const quietMs = graceMs === undefined
    ? config.quietMs ?? DRAIN_QUIET_MS
    : graceMs * DRAIN_QUIET_SHARE;
  const limitMs = (graceMs ?? Infinity) * DRAIN_LIMIT_SHARE;
  const elapsedMs = () => clock.now() - startedAt;
  const poll = () =>
    new Promise<void>((resolve) => clock.after(DRAIN_POLL_MS, resolve));
  while (elapsedMs() < quietMs) await poll();
  config.onEnding();
  while (elapsedMs() < limitMs && isBusy()) await poll();
}
