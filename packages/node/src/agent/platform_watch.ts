/** Feed from the platform's HTTP interface, by long polling. */

import { type Clock, sleep } from "@coltsfootdeal/kernel";
import type { Result } from "neverthrow";
import { PLATFORM_RETRY_MAX_MS, PLATFORM_WATCH_WAIT_MS } from "../constants.ts";
import type { Feed, FeedSinks } from "./feed.ts";
import { createReachability, drawRetryDelay } from "./feed_state.ts";
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

/** Creates a feed that has not started. */
export function createPlatformWatch(
  config: PlatformWatchConfig,
): Feed {
  const { clock, platform } = config;
  const closing = new AbortController();
  let abort: AbortController | undefined;
  const reachability = createReachability(config.onReachabilityChange);

  async function followChanges<Item>(
    read: Read<Item>,
    onItems: (items: readonly Item[]) => void,
    options: { readonly signal: AbortSignal },
  ): Promise<void> {
    const { signal } = options;
    let after = 0;
    let failures = 0;
    while (!signal.aborted) {
      // The first read after an error does not wait for a change, so that a
      // platform that returned to an older revision is noticed at once.
      const waitMs = after === 0 || failures > 0 ? 0 : PLATFORM_WATCH_WAIT_MS;
      const result = await read({ after, waitMs }, signal);
      if (signal.aborted) return;
      if (result.isErr()) {
        failures++;
        reachability.set(false, result.error);
        const delayMs = drawRetryDelay(failures, PLATFORM_RETRY_MAX_MS);
        await sleep(clock, delayMs, signal);
        continue;
      }
      failures = 0;
      reachability.set(true, "answered");
      after = result.value.revision;
      if (result.value.items.length > 0) onItems(result.value.items);
    }
  }

  async function readOnce<Item>(
    read: Read<Item>,
    onItems: (items: readonly Item[]) => void,
  ): Promise<void> {
    const result = await read({ after: 0, waitMs: 0 }, closing.signal);
    if (closing.signal.aborted) return;
    result.match(({ items }) => {
      reachability.set(true, "answered");
      if (items.length > 0) onItems(items);
    }, (error) => reachability.set(false, error));
  }

  return {
    start: () => {
      if (abort !== undefined) return;
      abort = new AbortController();
      const { signal } = abort;
      followChanges(platform.values, config.onValues, { signal });
      followChanges(platform.instances, config.onInstances, { signal });
    },
    stop: () => {
      abort?.abort();
      abort = undefined;
    },
    readOnce: () => {
      readOnce(platform.values, config.onValues);
      readOnce(platform.instances, config.onInstances);
    },
    active: () => abort !== undefined,
    reachable: reachability.get,
    close: () => {
      abort?.abort();
      closing.abort();
    },
  };
}
