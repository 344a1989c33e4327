/** Variants under comparison: the policy of this project and baselines. */

import {
  type Admission,
  createAdmission,
  type GateAction,
  type Work,
} from "@coltsfootdeal/policy";

/** A policy that a scenario runs with. */
export interface Variant {
  readonly name: string;
  /**
   * Creates the admission control of a gate. `floors` holds the guaranteed
   * share of the slots by kind.
   */
  readonly createGate: (
    slots: number,
    floors: ReadonlyMap<string, number>,
  ) => Admission;
  /**
   * Fixed number of retries that each ingress makes. Undefined for the policy
   * of this project, which limits retries by retry ledger and retry budgets.
   */
  readonly retriesPerHop: number | undefined;
  /**
   * Whether a call that is cancelled or reaches its deadline also cancels its
   * attempt, its run and its nested calls.
   */
  readonly propagatesCancellation: boolean;
}

/** Admission without any limit: every call is started at once. */
function createUnlimitedGate(): Admission {
  let inFlight = 0;
  return {
    offer: (work) => {
      inFlight++;
      return [{ kind: "run", work }];
    },
    finish: () => {
      inFlight--;
      return [];
    },
    abandon: () => [],
    tick: () => [],
    configure: () => {},
    setRate: () => {},
    leave: () => {},
    resume: () => {},
    refuseQueued: () => [],
    averageRunMs: () => 0,
    makesNestedCalls: () => false,
    resetLimit: () => {},
    load: () => ({
      inFlight,
      queued: 0,
      limit: 1,
      acceptLevel: 0,
      leaving: false,
    }),
  };
}

/** Admission with a fixed limit and a bounded first-in, first-out queue. */
function createFifoGate(slots: number): Admission {
  const maxQueued = slots * 4;
  const queue: Work[] = [];
  const running = new Set<string>();

  function startQueued(): GateAction[] {
    const actions: GateAction[] = [];
    while (running.size < slots && queue.length > 0) {
      const work = queue.shift();
      if (work === undefined) break;
      running.add(work.id);
      actions.push({ kind: "run", work });
    }
    return actions;
  }

  return {
    offer: (work) => {
      if (queue.length >= maxQueued) {
        return [{ kind: "refuse", work, reason: "overload", retryAfterMs: 0 }];
      }
      queue.push(work);
      return startQueued();
    },
    finish: (id) => {
      running.delete(id);
      return startQueued();
    },
    abandon: () => [],
    tick: () => [],
    configure: () => {},
    setRate: () => {},
    leave: () => {},
    resume: () => {},
    refuseQueued: () => [],
    averageRunMs: () => 0,
    makesNestedCalls: () => false,
    resetLimit: () => {},
    load: () => ({
      inFlight: running.size,
      queued: queue.length,
      limit: slots,
      acceptLevel: 0,
      leaving: false,
    }),
  };
}

/**
 * All variants. The first is the policy of this project. The others are
 * baselines: "none" has no admission control, "fifo" a queue without
 * priorities.
 */
export const VARIANTS: readonly Variant[] = [
  {
    name: "coltsfootdeal",
    createGate: (slots, floors) => createAdmission({ slots, floors }),
    retriesPerHop: undefined,
    propagatesCancellation: true,
  },
  {
    name: "none",
    createGate: createUnlimitedGate,
    retriesPerHop: 3,
    propagatesCancellation: false,
  },
  {
    name: "fifo",
    createGate: createFifoGate,
    retriesPerHop: 3,
    propagatesCancellation: false,
  },
];
