/** Feed from the platform's HTTP interface, by long polling. */

import { type Clock, sleep } from "@coltsfootdeal/kernel";
import { err, ok, type Result } from "neverthrow";
import { PLATFORM_RETRY_MAX_MS, PLATFORM_WATCH_WAIT_MS } from "../constants.ts";
import type { Confirmation, Feed, FeedSinks } from "./feed.ts";
import {
  createReachability,
  createWatchGuard,
  drawRetryDelay,
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

/** The changes of one kind of item. */
interface Stream {
  /** Reads changes one after the other until the signal is aborted. */
  readonly follow: (signal: AbortSignal) => Promise<void>;
  /** Reads the changes since the known position once; true if answered. */
  readonly check: (signal: AbortSignal) => Promise<boolean>;
  /** Ends a read that waits for changes. */
  readonly interrupt: () => void;
  /** Time at which the latest read was sent that was answered. */
  readonly confirmedAt: () => number | undefined;
}

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

  function createStream<Item extends { readonly revision: number }>(
    read: Read<Item>,
    onItems: (items: readonly Item[]) => void,
  ): Stream {
    const guard = createWatchGuard(clock, config.onWatchBehind);
    let known: Position | undefined;
    let confirmedAt: number | undefined;

    /**
     * Applies an answer and returns the position to continue from. Revisions of
     * another era are not comparable, so everything is read again then.
     */
    function apply(
      { position, items }: PlatformChanges<Item>,
      sentAt: number,
    ): Result<void, string> {
      if (known !== undefined && position.era < known.era) {
        return err(`answer of the earlier era ${position.era}`);
      }
      reachability.set(true, "answered");
      if (known !== undefined && known.era !== position.era) {
        known = { era: position.era, revision: 0 };
        return ok();
      }
      if (known === undefined || orderOf(position) > orderOf(known)) {
        known = position;
      }
      guard.advance(orderOf(known));
      if (items.length > 0) onItems(orderItems(items, position));
      confirmedAt = Math.max(confirmedAt ?? sentAt, sentAt);
      return ok();
    }

    /** Position after which the next read continues; the start if unknown. */
    function position(): Position {
      return known ?? { era: 0, revision: 0 };
    }

    async function readAfter(
      waitMs: number,
      signal: AbortSignal,
    ): Promise<Result<void, string>> {
      const sentAt = clock.now();
      const query = { after: position().revision, waitMs };
      const result = await read(query, signal);
      if (signal.aborted) return ok();
      return result.match(
        (changes) => apply(changes, sentAt),
        (error) => err(error),
      );
    }

    async function follow(signal: AbortSignal): Promise<void> {
      let failures = 0;
      known = undefined;
      while (!signal.aborted) {
        const interruption = guard.begin(orderOf(position()));
        // The first read after an error does not wait for a change, so that a
        // platform that returned to an older revision is noticed at once.
        const waits = position().revision > 0 && reachability.get();
        const result = await readAfter(
          waits ? PLATFORM_WATCH_WAIT_MS : 0,
          AbortSignal.any([signal, interruption]),
        );
        if (signal.aborted) return;
        guard.end();
        if (interruption.aborted) continue;
        if (result.isOk()) {
          failures = 0;
          continue;
        }
        failures++;
        reachability.set(false, result.error);
        const delayMs = drawRetryDelay(failures, PLATFORM_RETRY_MAX_MS);
        await sleep(clock, delayMs, signal);
      }
    }

    return {
      follow,
      check: async (signal) => {
        const sentAt = clock.now();
        const result = await readAfter(0, signal);
        if (signal.aborted) return false;
        if (result.isErr()) reachability.set(false, result.error);
        // An answer of a new era confirms nothing yet.
        return confirmedAt !== undefined && confirmedAt >= sentAt;
      },
      interrupt: guard.interrupt,
      confirmedAt: () => confirmedAt,
    };
  }

  const streams = [
    createStream(platform.values, config.onValues),
    createStream(platform.instances, config.onInstances),
  ];

  async function check(): Promise<Confirmation | undefined> {
    const at = clock.now();
    const reads = await Promise.all(
      streams.map((stream) => stream.check(closing.signal)),
    );
    if (reads.every(Boolean)) return { at };
    // A read that waits may do so on a connection that is as dead.
    for (const stream of streams) stream.interrupt();
    return undefined;
  }

  return {
    start: () => {
      if (abort !== undefined) return;
      abort = new AbortController();
      for (const stream of streams) stream.follow(abort.signal);
    },
    stop: () => {
      abort?.abort();
      abort = undefined;
    },
    readOnce: () => {
      check();
    },
    check,
    confirmedAt: () => {
      const times = streams.map((stream) => stream.confirmedAt());
      return times.includes(undefined)
        ? undefined
        : Math.min(...times.map((time) => time ?? -Infinity));
    },
    // The platform has no single position.
    advance: () => {},
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
