/** What is compared: our policy, and baselines without it. */

import {
  type Admission,
  createAdmission,
  type GateAction,
  type Work,
} from "@coltsfootdeal/policy";

/** A policy under measurement. */
export interface Variant {
  readonly name: string;
  readonly createGate: (
    slots: number,
    floors: ReadonlyMap<string, number>,
  ) => Admission;
  /** Retries a hop; undefined for our chain ledger and budgets. */
  readonly retriesPerHop: number | undefined;
  /** Whether calls whose caller has gone are cancelled. */
  readonly cancels: boolean;
}

/** A gate that runs everything at once. */
function createOpenGate(): Admission {
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

/** A gate with a static limit and a bounded queue, first in, first out. */
function createFifoGate(slots: number): Admission {
  const queueMax = slots * 4;
  const queue: Work[] = [];
  const running = new Set<string>();

  function fill(): GateAction[] {
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
      if (queue.length >= queueMax) {
        return [{ kind: "refuse", work, reason: "overload", retryAfterMs: 0 }];
      }
      queue.push(work);
      return fill();
    },
    finish: (id) => {
      running.delete(id);
      return fill();
    },
    abandon: () => [],
    tick: () => [],
    configure: () => {},
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

/** All variants, ours first. */
export const VARIANTS: readonly Variant[] = [
  {
    name: "coltsfootdeal",
    createGate: (slots, floors) => createAdmission({ slots, floors }),
    retriesPerHop: undefined,
    cancels: true,
  },
  {
    name: "none",
    createGate: createOpenGate,
    retriesPerHop: 3,
    cancels: false,
  },
  {
    name: "fifo",
    createGate: createFifoGate,
    retriesPerHop: 3,
    cancels: false,
  },
];
