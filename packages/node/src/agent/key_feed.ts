/**
 * Follows a key-value store that can be listed and watched by revision: a list
 * first, then a watch from the list's revision, and a new list whenever the
 * store has dropped the history in between.
 */

import { type Clock, sleep, type Timer } from "@coltsfootdeal/kernel";
import type { Result } from "neverthrow";
import {
  STORE_RETRY_MAX_MS,
  STORE_RETURN_GRACE_MS,
  STORE_WATCH_PAUSE_MS,
  STORE_WATCH_WAIT_MS,
} from "../constants.ts";
import type {
  Feed,
  FeedSinks,
  PlatformInstance,
  PlatformValue,
} from "./feed.ts";
import { createReachability, drawRetryDelay } from "./feed_state.ts";

/** One key of the store, as it was written or removed. */
export type StoreChange =
  | { readonly kind: "value"; readonly value: PlatformValue }
  | { readonly kind: "instance"; readonly instance: PlatformInstance }
  | { readonly kind: "removed"; readonly id: string; readonly revision: number }
  /** Not readable, or written by somebody else. */
  | { readonly kind: "foreign"; readonly key: string; readonly reason: string };

/** What the store gave, and its revision at that time. */
export interface StoreChanges {
  readonly changes: readonly StoreChange[];
  readonly revision: number;
}

/** A page of a list. */
export interface StorePage extends StoreChanges {
  /** Key after which the next page begins; undefined for the last page. */
  readonly next: string | undefined;
}

/** Why the store gave nothing. */
export type StoreError =
  | { readonly kind: "unreachable"; readonly reason: string }
  | { readonly kind: "malformed"; readonly reason: string }
  /** The store refuses calls for the moment; nothing was done. */
  | { readonly kind: "busy"; readonly reason: string }
  /** The history since the revision that was asked for is gone. */
  | { readonly kind: "compacted" };

/** Reads of the store; each is one call. */
export interface StoreReader {
  readonly list: (
    after: string | undefined,
    signal: AbortSignal,
  ) => Promise<Result<StorePage, StoreError>>;
  readonly watch: (
    query: { readonly after: number; readonly waitMs: number },
    signal: AbortSignal,
  ) => Promise<Result<StoreChanges, StoreError>>;
}

/** Resolved configuration. */
export interface KeyValueFeedConfig extends FeedSinks {
  readonly clock: Clock;
  readonly reader: StoreReader;
  readonly onForeignEntry: (key: string, reason: string) => void;
}

function reasonOf(error: StoreError): string {
  return error.kind === "compacted" ? "history compacted" : error.reason;
}

/** Creates a feed that is switched off. */
export function createKeyValueFeed(config: KeyValueFeedConfig): Feed {
  const { clock, reader } = config;
  const known = new Map<string, PlatformInstance>();
  const missing = new Map<string, Timer>();
  let abort: AbortController | undefined;
  const reachable = createReachability(config.onReachabilityChange);

  function remove(id: string, revision: number): void {
    const instance = known.get(id);
    if (instance === undefined) return;
    known.delete(id);
    config.onInstances([{ ...instance, state: "gone", revision }]);
  }

  function found(id: string): void {
    missing.get(id)?.close();
    missing.delete(id);
  }

  function apply(changes: readonly StoreChange[]): void {
    const values: PlatformValue[] = [];
    const instances: PlatformInstance[] = [];
    for (const change of changes) {
      switch (change.kind) {
        case "value":
          values.push(change.value);
          break;
        case "instance":
          found(change.instance.id);
          known.set(change.instance.id, change.instance);
          instances.push(change.instance);
          break;
        case "removed":
          found(change.id);
          remove(change.id, change.revision);
          break;
        case "foreign":
          config.onForeignEntry(change.key, change.reason);
      }
    }
    if (instances.length > 0) config.onInstances(instances);
    if (values.length > 0) config.onValues(values);
  }

  /** Entries that lapsed during an outage get time to be written again. */
  function expectMissing(listed: ReadonlySet<string>, revision: number): void {
    for (const id of known.keys()) {
      if (listed.has(id) || missing.has(id)) continue;
      const timer = clock.after(STORE_RETURN_GRACE_MS, () => {
        missing.delete(id);
        remove(id, revision);
      });
      missing.set(id, timer);
    }
  }

  async function list(
    signal: AbortSignal,
  ): Promise<Result<number, StoreError>> {
    const listed = new Set<string>();
    let from: number | undefined;
    let after: string | undefined;
    for (;;) {
      const page = await reader.list(after, signal);
      if (page.isErr()) return page.map(() => 0);
      if (signal.aborted) return page.map(() => 0);
      // Pages are not a snapshot: the watch begins at the first page.
      from ??= page.value.revision;
      for (const change of page.value.changes) {
        if (change.kind === "instance") listed.add(change.instance.id);
      }
      apply(page.value.changes);
      after = page.value.next;
      if (after === undefined) {
        expectMissing(listed, page.value.revision);
        const revision = from;
        return page.map(() => revision);
      }
    }
  }

  async function follow(signal: AbortSignal): Promise<void> {
    let revision: number | undefined;
    let failures = 0;
    while (!signal.aborted) {
      const result = revision === undefined
        ? await list(signal)
        : await watch(revision, signal);
      if (signal.aborted) return;
      if (result.isOk()) {
        failures = 0;
        reachable.set(true, "answered");
        revision = result.value;
        continue;
      }
      if (result.error.kind === "compacted") {
        revision = undefined;
        continue;
      }
      failures++;
      reachable.set(false, reasonOf(result.error));
      const delayMs = drawRetryDelay(failures - 1, STORE_RETRY_MAX_MS);
      await sleep(clock, delayMs, signal);
    }
  }

  async function watch(
    after: number,
    signal: AbortSignal,
  ): Promise<Result<number, StoreError>> {
    // After an error the store is asked without waiting, so that its return is
    // noticed at once.
    const waitMs = reachable.get() ? STORE_WATCH_WAIT_MS : 0;
    const result = await reader.watch({ after, waitMs }, signal);
    if (result.isOk() && !signal.aborted) {
      const { changes } = result.value;
      apply(changes);
      // Changes that follow each other closely are read by one call.
      if (changes.length > 0) await sleep(clock, STORE_WATCH_PAUSE_MS, signal);
    }
    return result.map(({ revision }) => revision);
  }

  return {
    start: () => {
      if (abort !== undefined) return;
      abort = new AbortController();
      follow(abort.signal);
    },
    stop: () => {
      abort?.abort();
      abort = undefined;
    },
    active: () => abort !== undefined,
    reachable: reachable.get,
    close: () => {
      abort?.abort();
      for (const timer of missing.values()) timer.close();
    },
  };
}
