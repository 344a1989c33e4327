/**
 * Runs on the backend server beside this node and their nested calls. A nested
 * call inherits from its parent run and is cancelled when the run ends. In the
 * native protocol, the backend server gets the id of a run in a header and
 * sends it on nested calls. On other platforms the parent run is inferred.
 */

/**
 * Largest time by which a nested call's deadline may precede its parent run's:
 * both are rounded.
 */
const DEADLINE_EARLY_MAX_MS = 3;
/**
 * Largest time by which a nested call's deadline may follow its parent run's.
 * The deadline is counted from the call's arrival, which the event loops of the
 * backend server and of the node delay while they are busy.
 */
const DEADLINE_LATE_MAX_MS = 25;

/** What nested calls inherit from a run. */
export interface ParentRun {
  /** Priority level; higher is more important. */
  readonly level: number;
  /** Weight of the root request. */
  readonly weight: number;
  readonly deadlineAt: number;
}

/** Runs in flight, by id, with their nested calls. */
export interface RunRegistry {
  readonly start: (runId: string, parent: ParentRun) => void;
  /** Returns a run in flight. */
  readonly find: (runId: string) => ParentRun | undefined;
  /**
   * Returns the id of the run that most likely makes a call with the given
   * deadline. For platforms whose calls don't name their parent: a nested call
   * has about the same deadline as its parent run.
   */
  readonly inferParent: (deadlineAt: number) => string | undefined;
  /** Records that a run has made a nested call. */
  readonly recordNestedCall: (runId: string) => void;
  /**
   * Registers a nested call that `cancel` stops when the run ends. Returns a
   * function that unregisters the call.
   */
  readonly addNestedCall: (runId: string, cancel: () => void) => () => void;
  /**
   * Records that a nested call was refused, starved or not answered in time. A
   * failure of the run is then reported as starved.
   */
  readonly recordStarvation: (runId: string) => void;
  readonly isStarved: (runId: string) => boolean;
  /** Whether a run has made nested calls. */
  readonly hasNestedCalls: (runId: string) => boolean;
  /** Removes a run and cancels its nested calls that are still pending. */
  readonly finish: (runId: string) => void;
}

/** A run in flight and the state of its nested calls. */
interface Entry {
  readonly parent: ParentRun;
  /** Functions that cancel the pending nested calls. */
  readonly cancellations: Set<() => void>;
  starved: boolean;
  nested: boolean;
}

/** Creates a registry with no runs. */
export function createRunRegistry(): RunRegistry {
  const entries = new Map<string, Entry>();
  return {
    start: (runId, parent) => {
      entries.set(runId, {
        parent,
        cancellations: new Set(),
        starved: false,
        nested: false,
      });
    },
    find: (runId) => entries.get(runId)?.parent,
    inferParent: (deadlineAt) => {
      let closestRunId: string | undefined;
      let smallestGapMs = Infinity;
      for (const [runId, { parent }] of entries) {
        const lateMs = deadlineAt - parent.deadlineAt;
        if (lateMs < -DEADLINE_EARLY_MAX_MS || lateMs > DEADLINE_LATE_MAX_MS) {
          continue;
        }
        if (Math.abs(lateMs) >= smallestGapMs) continue;
        smallestGapMs = Math.abs(lateMs);
        closestRunId = runId;
      }
      return closestRunId;
    },
    recordNestedCall: (runId) => {
      const entry = entries.get(runId);
      if (entry) entry.nested = true;
    },
    addNestedCall: (runId, cancel) => {
      const entry = entries.get(runId);
      const cancellations = entry?.cancellations;
      cancellations?.add(cancel);
      if (entry) entry.nested = true;
      return () => {
        cancellations?.delete(cancel);
      };
    },
    recordStarvation: (runId) => {
      const entry = entries.get(runId);
      if (entry) entry.starved = true;
    },
    isStarved: (runId) => entries.get(runId)?.starved ?? false,
    hasNestedCalls: (runId) => entries.get(runId)?.nested ?? false,
    finish: (runId) => {
      const cancellations = entries.get(runId)?.cancellations ?? [];
      entries.delete(runId);
      for (const cancel of cancellations) cancel();
    },
  };
}
