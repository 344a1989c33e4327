/**
 * Runs on the own backend server, by the id that it echoes on calls further
 * down: what such a call inherits, and what is cancelled with its parent.
 */

/** By how much a call's deadline may be before its run's: two roundings. */
const DEADLINE_EARLY_MS = 3;
/** By how much it may be later: the delays of two busy event loops. */
const DEADLINE_LATE_MS = 25;

/** A run, as far as the calls further down are concerned. */
export interface ParentRun {
  readonly level: number;
  /** Worth of the request that the run is part of. */
  readonly weight: number;
  readonly deadlineAt: number;
}

/** The runs in flight and the calls that they have made. */
export interface RunRegistry {
  readonly start: (runId: string, parent: ParentRun) => void;
  readonly find: (runId: string) => ParentRun | undefined;
  /**
   * The run that most probably makes a call with the given deadline, where
   * calls do not tell: they end with the run that makes them.
   */
  readonly inferParent: (deadlineAt: number) => string | undefined;
  /** Records that a run has made a call further down. */
  readonly recordNestedCall: (runId: string) => void;
  /** Registers a call further down; returns how to unregister it. */
  readonly addNestedCall: (runId: string, cancel: () => void) => () => void;
  /** Records that a call further down was refused. */
  readonly recordStarvation: (runId: string) => void;
  readonly isStarved: (runId: string) => boolean;
  /** Whether a run has made calls further down. */
  readonly hasNestedCalls: (runId: string) => boolean;
  /** Ends a run and cancels the calls that it has not waited for. */
  readonly finish: (runId: string) => void;
}

interface Entry {
  readonly parent: ParentRun;
  readonly children: Set<() => void>;
  starved: boolean;
  nested: boolean;
}

/** Creates an empty register. */
export function createRunRegistry(): RunRegistry {
  const entries = new Map<string, Entry>();
  return {
    start: (runId, parent) => {
      entries.set(runId, {
        parent,
        children: new Set(),
        starved: false,
        nested: false,
      });
    },
    find: (runId) => entries.get(runId)?.parent,
    inferParent: (deadlineAt) => {
      let found: string | undefined;
      let smallest = Infinity;
      for (const [runId, { parent }] of entries) {
        const late = deadlineAt - parent.deadlineAt;
        if (late < -DEADLINE_EARLY_MS || late > DEADLINE_LATE_MS) continue;
        if (Math.abs(late) >= smallest) continue;
        smallest = Math.abs(late);
        found = runId;
      }
      return found;
    },
    recordNestedCall: (runId) => {
      const entry = entries.get(runId);
      if (entry) entry.nested = true;
    },
    addNestedCall: (runId, cancel) => {
      const entry = entries.get(runId);
      const children = entry?.children;
      children?.add(cancel);
      if (entry) entry.nested = true;
      return () => {
        children?.delete(cancel);
      };
    },
    recordStarvation: (runId) => {
      const entry = entries.get(runId);
      if (entry) entry.starved = true;
    },
    isStarved: (runId) => entries.get(runId)?.starved ?? false,
    hasNestedCalls: (runId) => entries.get(runId)?.nested ?? false,
    finish: (runId) => {
      const children = entries.get(runId)?.children ?? [];
      entries.delete(runId);
      for (const cancel of children) cancel();
    },
  };
}
