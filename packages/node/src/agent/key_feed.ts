/**
 * Feed from a key-value store with revisions. It lists all keys, then watches
 * from the revision of the list, and lists again when the store has compacted
 * the history after the last known revision.
 */

import { type Clock, sleep, type Timer } from "@coltsfootdeal/kernel";
import { err, ok, type Result } from "neverthrow";
import {
  STORE_RETRY_MAX_MS,
  STORE_REWRITE_GRACE_MS,
  STORE_WATCH_PAUSE_MS,
  STORE_WATCH_WAIT_MS,
} from "../constants.ts";
import type {
  Confirmation,
  Feed,
  FeedSinks,
  PlatformInstance,
  PlatformValue,
} from "./feed.ts";
import {
  createReachability,
  createWatchGuard,
  drawRetryDelay,
} from "./feed_state.ts";
import { orderOf, type Position } from "./position.ts";

/** Change of one key of the store. */
export type StoreChange =
  | { readonly kind: "value"; readonly value: PlatformValue }
  | { readonly kind: "instance"; readonly instance: PlatformInstance }
  | { readonly kind: "removed"; readonly id: string; readonly revision: number }
  /** A value that cannot be decoded or that another application wrote. */
  | {
    readonly kind: "foreign";
    readonly key: string;
    readonly reason: string;
    /** The instance whose key this is; the value no longer lists it. */
    readonly instance?: { readonly id: string; readonly revision: number };
  };

/** Changes of keys, and the position of the store that includes them. */
export interface StoreChanges {
  readonly changes: readonly StoreChange[];
  readonly position: Position;
}

/** A page of a list. */
export interface StorePage extends StoreChanges {
  /** Key after which the next page begins; undefined for the last page. */
  readonly next: string | undefined;
}

/** Why a read failed. */
export type StoreError =
  | { readonly kind: "unreachable"; readonly reason: string }
  | { readonly kind: "malformed"; readonly reason: string }
  /** The store rejected the call without executing it; it can be retried. */
  | { readonly kind: "busy"; readonly reason: string }
  /** The history after the requested revision was compacted. */
  | { readonly kind: "compacted" };

/** Why a watch ended without an answer that continues the history. */
type WatchError = StoreError | { readonly kind: "interrupted" };

/** Which page of a list is read. */
export interface StoreListQuery {
  /** Key after which the page begins; undefined for the first page. */
  readonly after: string | undefined;
  /**
   * Whether the page may be out of date, which makes the read cheaper. A watch
   * from the revision of such a page returns what has changed since.
   */
  readonly allowsStale: boolean;
}

/** Reads from the store; each is a single request. */
export interface StoreReader {
  readonly list: (
    query: StoreListQuery,
    signal: AbortSignal,
  ) => Promise<Result<StorePage, StoreError>>;
  readonly watch: (
    query: { readonly after: number; readonly waitMs: number },
    signal: AbortSignal,
  ) => Promise<Result<StoreChanges, StoreError>>;
}

/** Resolved configuration of a key-value feed. */
export interface KeyValueFeedConfig extends FeedSinks {
  readonly clock: Clock;
  readonly reader: StoreReader;
  /** Called when the store answers from another era than before. */
  readonly onEraChange: (
    change: Position & { readonly before: number },
  ) => void;
  /** Called with each entry that is skipped because it cannot be used. */
  readonly onForeignEntry: (key: string, reason: string) => void;
}

function formatError(error: StoreError): string {
  return error.kind === "compacted" ? "history compacted" : error.reason;
}

/**
 * Draws the wait of a watch. Readers of a fleet draw it independently, so that
 * they do not call the store all at once.
 */
function drawWatchWait(): number {
  return Math.round(STORE_WATCH_WAIT_MS * (0.5 + Math.random() / 2));
}

/** The removal of an instance that is due after the grace period. */
interface PendingRemoval {
  readonly timer: Timer;
  /** Position at which the instance was found to be missing. */
  position: Position;
}

/** Creates a feed that has not started. */
export function createKeyValueFeed(config: KeyValueFeedConfig): Feed {
  const { clock, reader } = config;
  const pendingRemovals = new Map<string, PendingRemoval>();
  const closing = new AbortController();
  let abort: AbortController | undefined;
  let isListing = false;
  let latestEra: number | undefined;
  const reachability = createReachability(clock, config.onReachabilityChange);
  const guard = createWatchGuard(clock, config.onWatchBehind);
  /** Position up to which this node knows all changes. */
  let latest: Position | undefined;
  let confirmedAt: number | undefined;

  function isLatest(position: Position): boolean {
    return latest === undefined || orderOf(position) > orderOf(latest);
  }

  /** Takes over a position up to which all changes are known. */
  function advanceTo(position: Position): void {
    if (isLatest(position)) latest = position;
    guard.advance(orderOf(position));
  }

  function confirm(sentAt: number): void {
    confirmedAt = Math.max(confirmedAt ?? sentAt, sentAt);
  }

  function observeEra({ era, revision }: Position): void {
    if (latestEra !== undefined && era > latestEra) {
      config.onEraChange({ before: latestEra, era, revision });
    }
    latestEra = Math.max(latestEra ?? era, era);
  }

  /** Removes an instance that was not written after the position. */
  function remove(id: string, position: Position): void {
    const order = orderOf(position);
    const known = config.knownInstances().find((other) => other.id === id);
    if (known === undefined || known.revision >= order) return;
    config.onInstances([{ ...known, state: "gone", revision: order }]);
  }

  function cancelRemoval(id: string): void {
    pendingRemovals.get(id)?.timer.close();
    pendingRemovals.delete(id);
  }

  function apply({ changes, position: { era } }: StoreChanges): void {
    const values: PlatformValue[] = [];
    const instances: PlatformInstance[] = [];
    for (const change of changes) {
      switch (change.kind) {
        case "value":
          values.push(change.value);
          break;
        case "instance": {
          const { instance } = change;
          const revision = orderOf({ era, revision: instance.revision });
          cancelRemoval(instance.id);
          instances.push({ ...instance, revision });
          break;
        }
        case "removed":
          cancelRemoval(change.id);
          remove(change.id, { era, revision: change.revision });
          break;
        case "foreign": {
          config.onForeignEntry(change.key, change.reason);
          const { instance } = change;
          if (instance === undefined) break;
          const { id, revision } = instance;
          scheduleRemoval(id, { era, revision });
        }
      }
    }
    if (instances.length > 0) config.onInstances(instances);
    if (values.length > 0) config.onValues(values);
  }

  /** Removes an instance, unless its entry is written again within the grace. */
  function scheduleRemoval(id: string, position: Position): void {
    const pending = pendingRemovals.get(id);
    if (pending !== undefined) {
      // A writer that goes on writing such values does not put it off.
      pending.position = position;
      return;
    }
    const timer = clock.after(STORE_REWRITE_GRACE_MS, () => {
      pendingRemovals.delete(id);
      remove(id, removal.position);
    });
    const removal: PendingRemoval = { timer, position };
    pendingRemovals.set(id, removal);
  }

  /**
   * Removes the known instances that a list lacks, after a grace period: leases
   * that expired during an outage of the store are written again soon after it.
   * Instances that were written after the list was made are kept.
   */
  function scheduleRemovals(
    listed: ReadonlySet<string>,
    position: Position,
  ): void {
    for (const { id, revision: knownRevision } of config.knownInstances()) {
      if (listed.has(id) || pendingRemovals.has(id)) continue;
      if (knownRevision >= orderOf(position)) continue;
      scheduleRemoval(id, position);
    }
  }

  async function list(
    signal: AbortSignal,
    allowsStale: boolean,
  ): Promise<Result<Position, StoreError>> {
    const listed = new Set<string>();
    let first: Position | undefined;
    let after: string | undefined;
    for (;;) {
      const page = await reader.list({ after, allowsStale }, signal);
      if (page.isErr()) return err(page.error);
      const { position, changes, next } = page.value;
      // Pages are not one snapshot, so the watch starts at the position of the
      // first page: no change between two pages is missed.
      first ??= position;
      if (signal.aborted) return ok(first);
      const eraError = compareEras(position, first);
      if (eraError !== undefined) return err(eraError);
      for (const change of changes) {
        if (change.kind === "instance") listed.add(change.instance.id);
      }
      apply(page.value);
      after = next;
      if (after === undefined) {
        scheduleRemovals(listed, first);
        config.onListed();
        return ok(first);
      }
    }
  }

  /** Lists all keys; a list that is up to date confirms what it returns. */
  async function listAll(
    signal: AbortSignal,
    allowsStale: boolean,
  ): Promise<Result<Position, StoreError>> {
    const sentAt = clock.now();
    const listed = await list(signal, allowsStale);
    if (listed.isOk() && !allowsStale) confirm(sentAt);
    return listed;
  }

  /**
   * Reads what changed since `known`, and everything if the store no longer has
   * that history.
   */
  async function readChanges(
    known: Position | undefined,
  ): Promise<Result<Position, StoreError>> {
    const { signal } = closing;
    if (known !== undefined) {
      const query = { after: known.revision, waitMs: 0 };
      const result = await reader.watch(query, signal);
      if (signal.aborted) return ok(known);
      const error = result.isErr()
        ? result.error
        : compareEras(result.value.position, known);
      if (result.isOk() && error === undefined) {
        apply(result.value);
        return ok(result.value.position);
      }
      if (error !== undefined && error.kind !== "compacted") return err(error);
    }
    return await list(signal, false);
  }

  async function check(
    known: Position | undefined,
  ): Promise<Confirmation | undefined> {
    const at = clock.now();
    const read = await readChanges(known);
    if (closing.signal.aborted) return undefined;
    if (read.isOk()) {
      reachability.set(true, "answered");
      confirm(at);
      advanceTo(read.value);
      return { at, position: read.value };
    }
    if (abort !== undefined) {
      // The watch may wait on a connection that is as dead. Once it is ended,
      // short reads tell when the store answers again.
      reachability.set(false, formatError(read.error));
      guard.interrupt();
    }
    return undefined;
  }

  /**
   * Why the revisions of an answer can't follow those of `known`; undefined if
   * they can. Once the store came back from a backup, it assigns revisions
   * again, so a watch from an earlier era misses changes without notice.
   */
  function compareEras(
    answer: Position,
    known: Position,
  ): StoreError | undefined {
    observeEra(answer);
    if (answer.era < (latestEra ?? 0)) {
      return {
        kind: "busy",
        reason: `answer of the earlier era ${answer.era}`,
      };
    }
    return answer.era === known.era ? undefined : { kind: "compacted" };
  }

  async function run(signal: AbortSignal): Promise<void> {
    // A list after a compaction must include what the lost history held.
    let allowsStaleList = true;
    let failures = 0;
    latest = undefined;
    while (!signal.aborted) {
      const result = latest === undefined
        ? await listAll(signal, allowsStaleList)
        : await watch(latest, signal);
      if (signal.aborted) return;
      if (result.isOk()) {
        failures = 0;
        reachability.set(true, "answered");
        advanceTo(result.value);
        continue;
      }
      if (result.error.kind === "compacted") {
        latest = undefined;
        allowsStaleList = false;
        continue;
      }
      if (result.error.kind === "interrupted") continue;
      // A stale copy of the store may have answered.
      allowsStaleList = allowsStaleList && latestEra === undefined;
      failures++;
      reachability.set(false, formatError(result.error));
      const delayMs = drawRetryDelay(failures - 1, STORE_RETRY_MAX_MS);
      await sleep(clock, delayMs, signal);
    }
  }

  async function watch(
    after: Position,
    signal: AbortSignal,
  ): Promise<Result<Position, WatchError>> {
    // After an error the watch does not wait for a change, so that a store that
    // works again is noticed at once.
    const waitMs = reachability.get() ? drawWatchWait() : 0;
    const query = { after: after.revision, waitMs };
    const sentAt = clock.now();
    const interruption = guard.begin(orderOf(after));
    const result = await reader.watch(
      query,
      AbortSignal.any([signal, interruption]),
    );
    if (signal.aborted) return ok(after);
    guard.end();
    if (interruption.aborted) return err({ kind: "interrupted" });
    if (result.isErr()) return err(result.error);
    const { changes, position } = result.value;
    const eraError = compareEras(position, after);
    if (eraError !== undefined) return err(eraError);
    apply(result.value);
    advanceTo(position);
    confirm(sentAt);
    // The pause collects changes in quick succession into one request.
    if (changes.length > 0) await sleep(clock, STORE_WATCH_PAUSE_MS, signal);
    return ok(position);
  }

  return {
    start: () => {
      if (abort !== undefined) return;
      abort = new AbortController();
      run(abort.signal);
    },
    stop: () => {
      abort?.abort();
      abort = undefined;
      guard.end();
    },
    check,
    confirmedAt: () => confirmedAt,
    position: () => latest,
    advance: (position) => {
      // Revisions of another era continue no watch; the store tells of it.
      const continues = latest === undefined || latest.era === position.era;
      if (continues) advanceTo(position);
      else guard.advance(orderOf(position));
    },
    readOnce: async () => {
      if (abort !== undefined || isListing) return;
      isListing = true;
      const listed = await list(closing.signal, true);
      isListing = false;
      listed.match(
        () => reachability.set(true, "answered"),
        (error) => reachability.set(false, formatError(error)),
      );
    },
    active: () => abort !== undefined,
    reachable: reachability.get,
    answeredAt: reachability.answeredAt,
    close: () => {
      abort?.abort();
      closing.abort();
      guard.end();
      for (const { timer } of pendingRemovals.values()) timer.close();
    },
  };
}
