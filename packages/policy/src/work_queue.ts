/**
 * Priority queue of one admission gate. The highest level goes first; within
 * a level, slots are shared fairly among kinds and then among callers.
 */

import type { Work } from "./work.ts";

/** Current use of the slots, by which the next entry is selected. */
export interface SelectionContext {
  /** Whether work of a kind and level may start at present. */
  readonly canStart: (kind: string, level: number) => boolean;
  /** Slots that a kind uses; the kind with the fewest goes first. */
  readonly kindUsage: (kind: string) => number;
  /** Slots that a caller uses; the caller with the fewest goes first. */
  readonly callerUsage: (caller: string) => number;
}

/** Queued work, ordered by level. */
export interface WorkQueue {
  readonly size: () => number;
  readonly push: (work: Work) => void;
  readonly remove: (id: string) => Work | undefined;
  /** Number of entries at `level` or above. */
  readonly countAtOrAbove: (level: number) => number;
  /** Levels that have entries, the highest first. */
  readonly levels: () => readonly number[];
  /** The entry to run next, of the highest level that may start. */
  readonly selectNext: (context: SelectionContext) => Work | undefined;
  /** The entry to run next among those of one kind. */
  readonly selectNextOfKind: (
    kind: string,
    context: SelectionContext,
  ) => Work | undefined;
  /**
   * The entry to evict first: of the lowest level, the kind with the most slots
   * and entries, and its caller with the most entries.
   */
  readonly selectEviction: (context: SelectionContext) => Work | undefined;
  /**
   * Removes and returns the entries that cannot finish by their deadline, given
   * the minimum run time of each kind in ms.
   */
  readonly expire: (
    now: number,
    minRunMs: (kind: string) => number,
  ) => readonly Work[];
  readonly entries: () => Iterable<Work>;
}

/** Returns the first item of the lowest cost. */
function minBy<Item>(
  items: Iterable<Item>,
  cost: (item: Item) => number,
): Item | undefined {
  let best: Item | undefined;
  let bestCost = Infinity;
  for (const item of items) {
    const itemCost = cost(item);
    if (best !== undefined && itemCost >= bestCost) continue;
    best = item;
    bestCost = itemCost;
  }
  return best;
}

/** Creates an empty queue. */
export function createWorkQueue(): WorkQueue {
  const byId = new Map<string, Work>();
  const byLevel = new Map<number, Map<string, Set<Work>>>();
  const counts = new Map<number, number>();
  let levels: readonly number[] = [];

  function remove(id: string): Work | undefined {
    const entry = byId.get(id);
    if (entry === undefined) return undefined;
    byId.delete(id);
    const { level, kind } = entry;
    const kinds = byLevel.get(level);
    const entries = kinds?.get(kind);
    entries?.delete(entry);
    if (entries?.size === 0) kinds?.delete(kind);
    counts.set(level, (counts.get(level) ?? 1) - 1);
    if (kinds?.size === 0) {
      byLevel.delete(level);
      counts.delete(level);
      levels = levels.filter((other) => other !== level);
    }
    return entry;
  }

  function push(entry: Work): void {
    const { id, level, kind } = entry;
    byId.set(id, entry);
    let kinds = byLevel.get(level);
    if (kinds === undefined) {
      kinds = new Map();
      byLevel.set(level, kinds);
      levels = [...levels, level].sort((a, b) => b - a);
    }
    const entries = kinds.get(kind) ?? new Set();
    kinds.set(kind, entries.add(entry));
    counts.set(level, (counts.get(level) ?? 0) + 1);
  }

  function leastServedCaller(
    entries: Iterable<Work>,
    context: SelectionContext,
  ): Work | undefined {
    return minBy(entries, (entry) => context.callerUsage(entry.caller));
  }

  function selectAtLevel(
    level: number,
    context: SelectionContext,
  ): Work | undefined {
    const kinds = byLevel.get(level);
    if (kinds === undefined) return undefined;
    const startable = [...kinds.keys()].filter((kind) =>
      context.canStart(kind, level)
    );
    const kind = minBy(startable, context.kindUsage);
    return kind === undefined
      ? undefined
      : leastServedCaller(kinds.get(kind) ?? [], context);
  }

  function selectEvictionAt(
    level: number,
    context: SelectionContext,
  ): Work | undefined {
    const kinds = byLevel.get(level);
    if (kinds === undefined) return undefined;
    const kind = minBy(
      kinds.keys(),
      (name) => -context.kindUsage(name) - (kinds.get(name)?.size ?? 0),
    );
    const entries = [...(kinds.get(kind ?? "") ?? [])];
    const countByCaller = new Map<string, number>();
    for (const { caller } of entries) {
      countByCaller.set(caller, (countByCaller.get(caller) ?? 0) + 1);
    }
    // The youngest entry of a caller is evicted first.
    entries.reverse();
    return minBy(entries, ({ caller }) => -(countByCaller.get(caller) ?? 0));
  }

  return {
    size: () => byId.size,
    push,
    remove,
    countAtOrAbove: (level) => {
      let count = 0;
      for (const other of levels) {
        if (other < level) break;
        count += counts.get(other) ?? 0;
      }
      return count;
    },
    levels: () => levels,
    selectNext: (context) => {
      for (const level of levels) {
        const entry = selectAtLevel(level, context);
        if (entry !== undefined) return entry;
      }
      return undefined;
    },
    selectNextOfKind: (kind, context) => {
      for (const level of levels) {
        const entries = byLevel.get(level)?.get(kind);
        const startable = context.canStart(kind, level);
        if (entries !== undefined && startable) {
          return leastServedCaller(entries, context);
        }
      }
      return undefined;
    },
    selectEviction: (context) => {
      const lowest = levels.at(-1);
      return lowest === undefined
        ? undefined
        : selectEvictionAt(lowest, context);
    },
    expire: (now, minRunMs) => {
      const expired: Work[] = [];
      for (const entry of byId.values()) {
        const { deadlineAt, kind } = entry;
        if (deadlineAt <= now + minRunMs(kind)) expired.push(entry);
      }
      for (const entry of expired) remove(entry.id);
      return expired;
    },
    entries: () => byId.values(),
  };
}
