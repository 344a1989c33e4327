/** The queue of one gate: by level, then by kind, then by caller. */

import type { Work } from "./work.ts";

/** How the next entry of a level is chosen. */
export interface SelectionContext {
  /** Whether work of a kind and level may be started at present. */
  readonly canStart: (kind: string, level: number) => boolean;
  /** How much of the slots a kind uses already; the smallest goes first. */
  readonly kindUsage: (kind: string) => number;
  /** How much of the slots a caller uses already; the smallest goes first. */
  readonly callerUsage: (caller: string) => number;
}

/** Queued work, ordered by importance. */
export interface WorkQueue {
  readonly size: () => number;
  readonly push: (work: Work) => void;
  readonly remove: (id: string) => Work | undefined;
  /** Entries at `level` or above. */
  readonly countAtOrAbove: (level: number) => number;
  /** Levels in use, the most important first. */
  readonly levels: () => readonly number[];
  /** The entry of the highest level to run next. */
  readonly selectNext: (choice: SelectionContext) => Work | undefined;
  /** The entry of one kind to run next. */
  readonly selectNextOfKind: (
    kind: string,
    choice: SelectionContext,
  ) => Work | undefined;
  /** The entry to give up first: lowest level, greediest kind and caller. */
  readonly selectEviction: (choice: SelectionContext) => Work | undefined;
  /** Removes and returns the entries that cannot finish in time. */
  readonly expire: (
    now: number,
    minRunMs: (kind: string) => number,
  ) => readonly Work[];
  readonly entries: () => Iterable<Work>;
}

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
    choice: SelectionContext,
  ): Work | undefined {
    return minBy(entries, (entry) => choice.callerUsage(entry.caller));
  }

  function selectAtLevel(
    level: number,
    choice: SelectionContext,
  ): Work | undefined {
    const kinds = byLevel.get(level);
    if (kinds === undefined) return undefined;
    const open = [...kinds.keys()].filter((kind) =>
      choice.canStart(kind, level)
    );
    const kind = minBy(open, choice.kindUsage);
    return kind === undefined
      ? undefined
      : leastServedCaller(kinds.get(kind) ?? [], choice);
  }

  function selectEvictionAt(
    level: number,
    choice: SelectionContext,
  ): Work | undefined {
    const kinds = byLevel.get(level);
    if (kinds === undefined) return undefined;
    const kind = minBy(
      kinds.keys(),
      (name) => -choice.kindUsage(name) - (kinds.get(name)?.size ?? 0),
    );
    const entries = [...(kinds.get(kind ?? "") ?? [])];
    const held = new Map<string, number>();
    for (const { caller } of entries) {
      held.set(caller, (held.get(caller) ?? 0) + 1);
    }
    entries.reverse();
    return minBy(entries, ({ caller }) => -(held.get(caller) ?? 0));
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
    selectNext: (choice) => {
      for (const level of levels) {
        const entry = selectAtLevel(level, choice);
        if (entry !== undefined) return entry;
      }
      return undefined;
    },
    selectNextOfKind: (kind, choice) => {
      for (const level of levels) {
        const entries = byLevel.get(level)?.get(kind);
        const open = choice.canStart(kind, level);
        if (entries !== undefined && open) {
          return leastServedCaller(entries, choice);
        }
      }
      return undefined;
    },
    selectEviction: (choice) => {
      const bottom = levels.at(-1);
      return bottom === undefined
        ? undefined
        : selectEvictionAt(bottom, choice);
    },
    expire: (now, timeOf) => {
      const expired: Work[] = [];
      for (const entry of byId.values()) {
        const { deadlineAt, kind } = entry;
        if (deadlineAt <= now + timeOf(kind)) expired.push(entry);
      }
      for (const entry of expired) remove(entry.id);
      return expired;
    },
    entries: () => byId.values(),
  };
}
