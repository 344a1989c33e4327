/** The runs in flight at one gate, and what is counted of them. */

import type { Work } from "./work.ts";

/** One run in flight. */
export interface Run {
  readonly work: Work;
  readonly startedAt: number;
  /** Time that it was expected to take, in ms. */
  readonly expectedMs: number;
  /** Whether it is of a kind that waits for calls further down. */
  readonly makesNestedCalls: boolean;
  /** Whether it is being cancelled. */
  readonly cancelling: boolean;
}

/** What is known of a run when it starts. */
export interface RunStart {
  readonly now: number;
  readonly expectedMs: number;
  readonly makesNestedCalls: boolean;
}

/** The runs in flight. */
export interface ActiveRuns {
  readonly size: () => number;
  readonly start: (work: Work, start: RunStart) => void;
  /** Removes a run that has ended. */
  readonly end: (id: string) => Run | undefined;
  readonly find: (id: string) => Run | undefined;
  readonly all: () => Iterable<Run>;
  /** Marks a run as being cancelled; false if it was already. */
  readonly cancel: (id: string) => boolean;
  /** The run that gives way first to work of a level. */
  readonly findPreemptible: (level: number) => Run | undefined;
  readonly countOfKind: (kind: string) => number;
  readonly countOfCaller: (caller: string) => number;
  /** Runs that must have no other one beside them. */
  readonly exclusiveCount: () => number;
  /** Runs of kinds that wait for calls further down. */
  readonly nestedCount: () => number;
  readonly cancelling: () => number;
  /**
   * How much slower than usual the runs are. They tell of a slowdown before
   * the first of them has finished.
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
  let startedSum = 0;
  let expectedSum = 0;

  function count(run: Run, by: 1 | -1): void {
    addToCount(kinds, run.work.kind, by);
    addToCount(callers, run.work.caller, by);
    startedSum += by * run.startedAt;
    expectedSum += by * run.expectedMs;
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
      let victim: Run | undefined;
      for (const run of runs.values()) {
        const { work } = run;
        const free = work.cancellable && !run.cancelling;
        if (!free || work.level >= level) continue;
        if (victim !== undefined && work.level >= victim.work.level) continue;
        victim = run;
      }
      return victim;
    },
    countOfKind: (kind) => kinds.get(kind) ?? 0,
    countOfCaller: (caller) => callers.get(caller) ?? 0,
    exclusiveCount: () => totals.exclusive,
    nestedCount: () => totals.nested,
    cancelling: () => totals.cancelling,
    slowdown: (now) => {
      if (runs.size === 0 || expectedSum <= 0) return 1;
      return Math.max(1, (runs.size * now - startedSum) / expectedSum);
    },
  };
}
