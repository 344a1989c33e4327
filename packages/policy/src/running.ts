/** The runs in flight at one admission gate, with their totals. */

import type { Work } from "./work.ts";

/** One run in flight. */
export interface Run {
  readonly work: Work;
  readonly startedAt: number;
  /** Average run time of its kind at the start, in ms; 0 if unknown. */
  readonly expectedMs: number;
  /** Whether its kind makes nested calls, for which the run waits. */
  readonly makesNestedCalls: boolean;
  /** Whether it is being cancelled. */
  readonly cancelling: boolean;
}

/** Properties of a run at its start. */
export interface RunStart {
  readonly now: number;
  readonly expectedMs: number;
  readonly makesNestedCalls: boolean;
}

/** The runs in flight and their totals. */
export interface ActiveRuns {
  readonly size: () => number;
  readonly start: (work: Work, start: RunStart) => void;
  /** Removes and returns a run that has ended. */
  readonly end: (id: string) => Run | undefined;
  readonly find: (id: string) => Run | undefined;
  readonly all: () => Iterable<Run>;
  /** Marks a run as being cancelled; false if unknown or already marked. */
  readonly cancel: (id: string) => boolean;
  /** The cancellable run of the lowest level below `level`. */
  readonly findPreemptible: (level: number) => Run | undefined;
  /** Number of runs of a kind. */
  readonly countOfKind: (kind: string) => number;
  /** Number of runs of a caller. */
  readonly countOfCaller: (caller: string) => number;
  /** Number of exclusive runs, which must be the only run in flight. */
  readonly exclusiveCount: () => number;
  /** Number of runs of kinds that make nested calls. */
  readonly nestedCount: () => number;
  /** Number of runs that are being cancelled. */
  readonly cancellingCount: () => number;
  /**
   * Elapsed time of all runs relative to their expected time, at least 1. It
   * shows that the backend server is slow before the first slow run has ended.
   */
  readonly slowdown: (now: number) => number;
}

type Entry = { -readonly [Key in keyof Run]: Run[Key] };

function addToCount(
  counts: Map<string, number>,
  key: string,
  by: number,
): void {
  const next = (counts.get(key) ?? 0) + by;
  if (next <= 0) counts.delete(key);
  else counts.set(key, next);
}

/** Creates an empty set of runs. */
export function createActiveRuns(): ActiveRuns {
  const runs = new Map<string, Entry>();
  const kinds = new Map<string, number>();
  const callers = new Map<string, number>();
  const totals = { exclusive: 0, nested: 0, cancelling: 0 };
  let startedAtSum = 0;
  let expectedMsSum = 0;

  function count(run: Run, by: 1 | -1): void {
    addToCount(kinds, run.work.kind, by);
    addToCount(callers, run.work.caller, by);
    startedAtSum += by * run.startedAt;
    expectedMsSum += by * run.expectedMs;
    if (run.work.exclusive) totals.exclusive += by;
    if (run.makesNestedCalls) totals.nested += by;
    if (run.cancelling) totals.cancelling += by;
  }

  return {
    size: () => runs.size,
    start: (work, { now, expectedMs, makesNestedCalls }) => {
      const entry = { work, startedAt: now, expectedMs, makesNestedCalls };
      const run = { ...entry, cancelling: false };
      runs.set(work.id, run);
      count(run, 1);
    },
    end: (id) => {
      const run = runs.get(id);
      if (run === undefined) return undefined;
      runs.delete(id);
      count(run, -1);
      return run;
    },
    find: (id) => runs.get(id),
    all: () => runs.values(),
    cancel: (id) => {
      const run = runs.get(id);
      if (run === undefined || run.cancelling) return false;
      run.cancelling = true;
      totals.cancelling++;
      return true;
    },
    findPreemptible: (level) => {
      let lowest: Run | undefined;
      for (const run of runs.values()) {
        const { work } = run;
        const preemptible = work.cancellable && !run.cancelling;
        if (!preemptible || work.level >= level) continue;
        if (lowest !== undefined && work.level >= lowest.work.level) continue;
        lowest = run;
      }
      return lowest;
    },
    countOfKind: (kind) => kinds.get(kind) ?? 0,
    countOfCaller: (caller) => callers.get(caller) ?? 0,
    exclusiveCount: () => totals.exclusive,
    nestedCount: () => totals.nested,
    cancellingCount: () => totals.cancelling,
    slowdown: (now) => {
      if (runs.size === 0 || expectedMsSum <= 0) return 1;
      return Math.max(1, (runs.size * now - startedAtSum) / expectedMsSum);
    },
  };
}
