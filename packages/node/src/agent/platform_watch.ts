/** Feed from the platform's HTTP interface, by long polling. */

import { type Clock, sleep } from "@coltsfootdeal/kernel";
import type { Result } from "neverthrow";
import { PLATFORM_RETRY_MAX_MS, PLATFORM_WATCH_WAIT_MS } from "../constants.ts";
import type { Confirmation, Feed, FeedSinks } from "./feed.ts";
import {
  createReachability,
  createWatchProgress,
  drawRetryDelay,
  type WatchProgress,
} from "./feed_state.ts";
import { orderOf, type Position } from "./position.ts";
import type {
  PlatformChanges,
  PlatformClient,
  PlatformError,
  WatchQuery,
} from "./platform_client.ts";

/** Resolved configuration of a platform watch. */
export interface PlatformWatchConfig extends FeedSinks {
  readonly clock: Clock;
  readonly platform: PlatformClient;
}

type Read<Item> = (
  query: WatchQuery,
  signal: AbortSignal,
) => Promise<Result<PlatformChanges<Item>, PlatformError>>;

/** Replaces the items' revisions by numbers that order them across eras. */
function orderItems<Item extends { readonly revision: number }>(
  items: readonly Item[],
  { era }: Position,
): readonly Item[] {
  return items.map((item) => ({
    ...item,
    revision: orderOf({ era, revision: item.revision }),
  }));
}

/** Creates a feed that has not started. */
export function createPlatformWatch(
  config: PlatformWatchConfig,
): Feed {
  const { clock, platform } = config;
  const closing = new AbortController();
  let abort: AbortController | undefined;
  const reachability = createReachability(clock, config.onReachabilityChange);
  const valueProgress = createWatchProgress();
  const instanceProgress = createWatchProgress();

  /**
   * Reads changes after the last known revision. Revisions of another era are
   * not comparable, so everything is read again then.
   */
  async function followChanges<Item extends { readonly revision: number }>(
    read: Read<Item>,
    onItems: (items: readonly Item[]) => void,
    options: {
      readonly signal: AbortSignal;
      readonly progress: WatchProgress;
    },
  ): Promise<void> {
    const { signal, progress } = options;
    let known: Position | undefined;
    let failures = 0;

    async function fail(reason: string): Promise<void> {
      failures++;
      reachability.set(false, reason);
      const delayMs = drawRetryDelay(failures, PLATFORM_RETRY_MAX_MS);
      await sleep(clock, delayMs, signal);
    }

    while (!signal.aborted) {
      const after = known?.revision ?? 0;
      // The first read after an error does not wait for a change, so that a
      // platform that returned to an older revision is noticed at once.
      const waitMs = after === 0 || failures > 0 ? 0 : PLATFORM_WATCH_WAIT_MS;
      const sentAt = clock.now();
      if (after !== 0) progress.recordWait(sentAt);
      const result = await read({ after, waitMs }, signal);
      progress.recordFailure();
      if (signal.aborted) return;
      if (result.isErr()) {
        await fail(result.error);
        continue;
      }
      const { position, items } = result.value;
      if (known !== undefined && position.era < known.era) {
        await fail(`answer of the earlier era ${position.era}`);
        continue;
      }
      failures = 0;
      reachability.set(true, "answered");
      const isSameEra = known === undefined || known.era === position.era;
      known = isSameEra ? position : { era: position.era, revision: 0 };
      if (!isSameEra) continue;
      if (items.length > 0) onItems(orderItems(items, position));
      progress.recordAnswer(sentAt, clock.now());
    }
  }

  async function readOnce<Item extends { readonly revision: number }>(
    read: Read<Item>,
    onItems: (items: readonly Item[]) => void,
  ): Promise<boolean> {
    const result = await read({ after: 0, waitMs: 0 }, closing.signal);
    if (closing.signal.aborted) return false;
    result.match(({ position, items }) => {
      reachability.set(true, "answered");
      if (items.length > 0) onItems(orderItems(items, position));
    }, (error) => reachability.set(false, error));
    return result.isOk();
  }

  async function check(): Promise<Confirmation | undefined> {
    const at = clock.now();
    const reads = await Promise.all([
      readOnce(platform.values, config.onValues),
      readOnce(platform.instances, config.onInstances),
    ]);
    return reads.every(Boolean) ? { at } : undefined;
  }

  return {
    start: () => {
      if (abort !== undefined) return;
      abort = new AbortController();
      const { signal } = abort;
      followChanges(platform.values, config.onValues, {
        signal,
        progress: valueProgress,
      });
      followChanges(platform.instances, config.onInstances, {
        signal,
        progress: instanceProgress,
      });
    },
    stop: () => {
      abort?.abort();
      abort = undefined;
      valueProgress.recordFailure();
      instanceProgress.recordFailure();
    },
    readOnce: () => {
      check();
    },
    check,
    confirmedAt: () => {
      const now = clock.now();
      const values = valueProgress.confirmedAt(now);
      const instances = instanceProgress.confirmedAt(now);
      if (values === undefined || instances === undefined) return undefined;
      return Math.min(values, instances);
    },
    position: () => undefined,
    active: () => abort !== undefined,
    reachable: reachability.get,
    answeredAt: reachability.answeredAt,
    close: () => {
      abort?.abort();
      closing.abort();
    },
  };
}
