/** Watches the platform while this node is a reader. */

import { type Clock, sleep } from "@coltsfootdeal/kernel";
import type { Result } from "neverthrow";
import { PLATFORM_RETRY_MAX_MS, WATCH_WAIT_MS } from "../constants.ts";
import type { Feed, FeedSinks } from "./feed.ts";
import { createReachability, drawRetryDelay } from "./feed_state.ts";
import type {
  PlatformChanges,
  PlatformClient,
  PlatformError,
  WatchQuery,
} from "./platform_client.ts";

/** Resolved configuration of a watch. */
export interface PlatformWatchConfig extends FeedSinks {
  readonly clock: Clock;
  readonly platform: PlatformClient;
}

type Read<Item> = (
  query: WatchQuery,
  signal: AbortSignal,
) => Promise<Result<PlatformChanges<Item>, PlatformError>>;

/** Creates a watch that is switched off. */
export function createPlatformWatch(
  config: PlatformWatchConfig,
): Feed {
  const { clock, platform } = config;
  let abort: AbortController | undefined;
  const reachable = createReachability(config.onReachabilityChange);

  async function loop<Item>(
    read: Read<Item>,
    onItems: (items: readonly Item[]) => void,
    options: { readonly signal: AbortSignal },
  ): Promise<void> {
    const { signal } = options;
    let after = 0;
    let failures = 0;
    while (!signal.aborted) {
      // The first read after an error does not wait, so that a revision that
      // went back is noticed at once.
      const waitMs = after === 0 || failures > 0 ? 0 : WATCH_WAIT_MS;
      const result = await read({ after, waitMs }, signal);
      if (signal.aborted) return;
      if (result.isErr()) {
        failures++;
        reachable.set(false, result.error);
        const delayMs = drawRetryDelay(failures, PLATFORM_RETRY_MAX_MS);
        await sleep(clock, delayMs, signal);
        continue;
      }
      failures = 0;
      reachable.set(true, "answered");
      after = result.value.revision;
      if (result.value.items.length > 0) onItems(result.value.items);
    }
  }

  return {
    start: () => {
      if (abort !== undefined) return;
      abort = new AbortController();
      const { signal } = abort;
      loop(platform.values, config.onValues, { signal });
      loop(platform.instances, config.onInstances, { signal });
    },
    stop: () => {
      abort?.abort();
      abort = undefined;
    },
    active: () => abort !== undefined,
    reachable: reachable.get,
    close: () => abort?.abort(),
  };
}
