/**
 * The gate's decisions: which work runs on the backend server, which waits,
 * which is refused. Pure: the caller performs the actions that are returned.
 */

import {
  FLOOR_SLOWDOWN_FACTOR,
  FLOOR_SUSPENSION_MS,
  LONG_RUN_FACTOR,
  PROTECTED_LEVEL,
  QUEUE_ENTRIES_MIN,
  QUEUE_ENTRIES_PER_SLOT,
  QUEUE_WAIT_MAX_MS,
  RUN_DEADLINE_GRACE_MS,
  SHORT_RUN_FACTOR,
} from "./constants.ts";
import { depthOf, isRequestLevel } from "./level.ts";
import { createConcurrencyLimit } from "./limit.ts";
import { createNesting } from "./nesting.ts";
import { createActiveRuns, type Run } from "./running.ts";
import { createServiceTime } from "./service_time.ts";
import { createThrottle } from "./throttle.ts";
import type { GateAction, Work } from "./work.ts";
import { createWorkQueue, type SelectionContext } from "./work_queue.ts";

/** Resolved configuration of an admission. */
export interface AdmissionConfig {
  /** Calls that the backend server runs at once. */
  readonly slots: number;
  /** Guaranteed share of the slots by kind, 0 to 1. */
  readonly floors: ReadonlyMap<string, number>;
  /**
   * Longest planned wait of unprotected work, in ms.
   * @default QUEUE_WAIT_MS
   */
  readonly maxQueueWaitMs?: number;
  /**
   * What spaces the throttle's adjustments: a fixed period, or the run time of
   * the kind, where no child tells at once that it was refused.
   * @default "fixed"
   */
  readonly throttleInterval?: "fixed" | "run_time";
  /**
   * Share of the slots below which sheds do not lower the limit.
   * @default 0
   */
  readonly minLimitShare?: number;
}

/** What became of a run. */
export interface RunResult {
  /** Whether the backend server shed the call. */
  readonly shed: boolean;
  /** Whether a call that it made further down was refused. */
  readonly starved?: boolean;
  /** Whether it made calls further down. */
  readonly nested?: boolean;
}

/** Load of a gate, as it is reported on every answer. */
export interface GateLoad {
  readonly inFlight: number;
  readonly queued: number;
  readonly limit: number;
  /** Lowest level that is accepted at present. */
  readonly acceptLevel: number;
  readonly leaving: boolean;
}

/** The gate of one backend server. */
export interface Admission {
  /** Decides about new work. */
  readonly offer: (work: Work, now: number) => readonly GateAction[];
  /** Records that a run has ended. */
  readonly finish: (
    id: string,
    finish: RunResult,
    options: { readonly now: number },
  ) => readonly GateAction[];
  /** Forgets work whose caller has gone; a run is cancelled if it may be. */
  readonly abandon: (id: string, now: number) => readonly GateAction[];
  /** Applies the passing of time. */
  readonly tick: (now: number) => readonly GateAction[];
  /** Applies changed slots and floors. */
  readonly configure: (config: AdmissionConfig) => void;
  /** Stops taking new work. */
  readonly leave: () => void;
  /** Takes new work again. */
  readonly resume: () => void;
  /** Refuses all queued work. */
  readonly refuseQueued: (now: number) => readonly GateAction[];
  /** Records that the backend server has been replaced by a cold one. */
  readonly resetLimit: () => void;
  readonly load: (now: number) => GateLoad;
  /** Average time of runs of a kind in ms; 0 while it is not known. */
  readonly averageRunMs: (kind: string) => number;
  /** Whether runs of a kind make calls further down. */
  readonly makesNestedCalls: (kind: string) => boolean;
}

type Refusal = Extract<GateAction, { readonly kind: "refuse" }>;

function isProtected(work: Work): boolean {
  return work.level >= PROTECTED_LEVEL;
}

/**
 * Calls further down are never throttled: their refusal would starve the run
 * that makes them, and so keep up the throttle that refused them.
 */
function isThrottled(work: Work): boolean {
  return !isProtected(work) && isRequestLevel(work.level);
}

/** Creates the gate of an idle backend server. */
export function createAdmission(initial: AdmissionConfig): Admission {
  let config = initial;
  const queueWaitMs = initial.maxQueueWaitMs ?? QUEUE_WAIT_MAX_MS;
  const queue = createWorkQueue();
  const limit = createConcurrencyLimit(initial.slots, initial.minLimitShare);
  const times = createServiceTime();
  const throttle = createThrottle();
  const nesting = createNesting();
  const runs = createActiveRuns();
  let protectedRefusedAt = -Infinity;
  let leaving = false;

  function selectionContext(now: number): SelectionContext {
    return {
      canStart: (kind, level) => mayTakeSlot(kind, level, now),
      kindUsage: runs.countOfKind,
      callerUsage: runs.countOfCaller,
    };
  }

  function estimateWaitMs(level: number, now: number): number {
    const ahead = queue.countAtOrAbove(level);
    return (ahead * times.averageOverall() * runs.slowdown(now)) /
      limit.current();
  }

  function refuse(
    work: Work,
    reason: Refusal["reason"],
    now: number,
  ): GateAction {
    if (isProtected(work)) protectedRefusedAt = now;
    const retryAfterMs = Math.ceil(estimateWaitMs(work.level, now));
    return { kind: "refuse", work, reason, retryAfterMs };
  }

  function start(work: Work, now: number): GateAction {
    const waits = nesting.makesNestedCalls(work.kind);
    const expectedMs = times.averageOfKind(work.kind);
    runs.start(work, { now, expectedMs, makesNestedCalls: waits });
    return { kind: "run", work };
  }

  /** Whether a kind's runs at a level may take a further slot. */
  function mayTakeSlot(kind: string, level: number, now: number): boolean {
    if (level >= PROTECTED_LEVEL || !nesting.makesNestedCalls(kind)) {
      return true;
    }
    const share = nesting.maxNestedShare(depthOf(level), now);
    return runs.nestedCount() <
      Math.max(1, Math.floor(limit.current() * share));
  }

  function hasSlotFor(work: Work, now: number): boolean {
    if (runs.exclusiveCount() > 0) return false;
    if (work.exclusive) return runs.size() === 0;
    if (!mayTakeSlot(work.kind, work.level, now)) return false;
    return runs.size() < limit.current();
  }

  /** Whether the queued protected work still fits if one slot goes elsewhere. */
  function protectedMeetsDeadlines(now: number): boolean {
    const protectedCount = queue.countAtOrAbove(PROTECTED_LEVEL);
    if (protectedCount === 0) return true;
    const rounds = Math.ceil((protectedCount + 1) / limit.current());
    for (const work of queue.entries()) {
      if (!isProtected(work)) continue;
      const usual = rounds * times.averageOverall() +
        times.averageOfKind(work.kind);
      const needed = usual * runs.slowdown(now) * FLOOR_SLOWDOWN_FACTOR;
      if (now + needed > work.deadlineAt) return false;
    }
    return true;
  }

  function kindBelowFloor(now: number): string | undefined {
    if (now - protectedRefusedAt < FLOOR_SUSPENSION_MS) return undefined;
    for (const [kind, floor] of config.floors) {
      const guaranteed = Math.ceil(floor * limit.current());
      if (runs.countOfKind(kind) >= guaranteed) continue;
      if (queue.selectNextOfKind(kind, selectionContext(now)) === undefined) {
        continue;
      }
      return protectedMeetsDeadlines(now) ? kind : undefined;
    }
    return undefined;
  }

  function selectNext(now: number): Work | undefined {
    const choice = selectionContext(now);
    const top = queue.selectNext(choice);
    if (top === undefined) return undefined;
    const floored = config.floors.size > 0 ? kindBelowFloor(now) : undefined;
    if (floored === undefined) return top;
    return queue.selectNextOfKind(floored, choice) ?? top;
  }

  function startQueued(now: number): GateAction[] {
    const actions: GateAction[] = [];
    const shortest = (kind: string) =>
      times.averageOfKind(kind) * SHORT_RUN_FACTOR;
    for (const work of queue.expire(now, shortest)) {
      actions.push(refuse(work, "deadline", now));
    }
    for (;;) {
      const next = selectNext(now);
      if (next === undefined || !hasSlotFor(next, now)) return actions;
      queue.remove(next.id);
      actions.push(start(next, now));
    }
  }

  function maxQueueLength(): number {
    const bound = config.slots * QUEUE_ENTRIES_PER_SLOT;
    return Math.max(QUEUE_ENTRIES_MIN, bound);
  }

  /**
   * Longest planned wait of unprotected work. A call further down may wait
   * longer: its refusal wastes what its run has done already.
   */
  function maxWaitMs(level: number): number {
    return queueWaitMs * (1 + depthOf(level));
  }

  function canFinishInTime(work: Work, now: number): boolean {
    const wait = estimateWaitMs(work.level, now);
    if (!isProtected(work) && wait > maxWaitMs(work.level)) return false;
    const run = times.averageOfKind(work.kind) * runs.slowdown(now) *
      LONG_RUN_FACTOR;
    return now + wait + run <= work.deadlineAt;
  }

  /** Makes room in a full queue at the cost of less important work. */
  function evictFor(work: Work, now: number): GateAction[] | undefined {
    if (queue.size() < maxQueueLength()) return [];
    const victim = queue.selectEviction(selectionContext(now));
    if (victim === undefined || victim.level >= work.level) {
      return undefined;
    }
    queue.remove(victim.id);
    return [refuse(victim, "evicted", now)];
  }

  /** Puts protected work in the place of running work that may be cancelled. */
  function preemptFor(work: Work, now: number): GateAction[] {
    const victim = runs.findPreemptible(PROTECTED_LEVEL);
    if (victim === undefined) return [refuse(work, "overload", now)];
    // One more than the bound is queued for each run that is cancelled.
    const evicted = evictFor(work, now) ?? [];
    queue.push(work);
    return [...evicted, ...cancelRun(victim)];
  }

  function enqueueOrRefuse(work: Work, now: number): GateAction[] {
    const evicted = canFinishInTime(work, now)
      ? evictFor(work, now)
      : undefined;
    if (evicted !== undefined) {
      queue.push(work);
      return evicted;
    }
    if (isProtected(work)) return preemptFor(work, now);
    return [refuse(work, "overload", now)];
  }

  /** Whether queued protected work will be late unless it starts at once. */
  function mustStartNow({ kind, deadlineAt }: Work, now: number): boolean {
    const run = times.averageOfKind(kind) * runs.slowdown(now) *
      LONG_RUN_FACTOR;
    // Nothing is known of the kind: it may need all the time it has.
    return run === 0 || now + run >= deadlineAt;
  }

  /** Cancels a lesser run for each endangered piece of protected work. */
  function preemptForUrgent(now: number): GateAction[] {
    if (queue.countAtOrAbove(PROTECTED_LEVEL) === 0) return [];
    let needed = -runs.cancelling();
    for (const work of queue.entries()) {
      if (isProtected(work) && mustStartNow(work, now)) needed++;
    }
    const actions: GateAction[] = [];
    while (needed-- > 0) {
      const victim = runs.findPreemptible(PROTECTED_LEVEL);
      if (victim === undefined) break;
      actions.push(...cancelRun(victim));
    }
    return actions;
  }

  function cancelRun({ work }: Run): GateAction[] {
    return runs.cancel(work.id) ? [{ kind: "cancel", work }] : [];
  }

  return {
    offer: (work, now) => {
      if (leaving) return [refuse(work, "leaving", now)];
      if (now >= work.deadlineAt) return [refuse(work, "deadline", now)];
      if (isThrottled(work) && !throttle.admit(work.kind, now)) {
        return [refuse(work, "overload", now)];
      }
      const before = startQueued(now);
      nesting.recordDepth(depthOf(work.level), now);
      const free = hasSlotFor(work, now) && queue.size() === 0;
      if (free) return [...before, start(work, now)];
      // What is queued ahead may be of a kind that must wait although slots
      // are free, so the queue is looked at again.
      const actions = [
        ...before,
        ...enqueueOrRefuse(work, now),
        ...startQueued(now),
      ];
      return [...actions, ...preemptForUrgent(now)];
    },
    finish: (id, finish, { now }) => {
      const inFlight = runs.size();
      const run = runs.end(id);
      if (run === undefined) return [];
      const sample = { inFlight, overloaded: finish.shed };
      if (finish.nested) nesting.recordNestedCalls(run.work.kind);
      limit.observe(sample, now);
      if (isThrottled(run.work)) {
        const paced = initial.throttleInterval === "run_time";
        const usualMs = paced ? times.averageOfKind(run.work.kind) : 0;
        const observed = { now, usualMs };
        throttle.observe(run.work.kind, finish.starved ?? false, observed);
      }
      if (!finish.shed && !run.cancelling) {
        times.observe(run.work.kind, now - run.startedAt);
      }
      return [...startQueued(now), ...preemptForUrgent(now)];
    },
    abandon: (id, now) => {
      queue.remove(id);
      const run = runs.find(id);
      const cancels = run?.work.cancellable ? cancelRun(run) : [];
      return [...cancels, ...startQueued(now)];
    },
    tick: (now) => {
      const late: GateAction[] = [];
      for (const run of runs.all()) {
        const { deadlineAt, cancellable, stopsAtDeadline } = run.work;
        const overdue = deadlineAt + RUN_DEADLINE_GRACE_MS <= now;
        if (overdue && (cancellable || stopsAtDeadline === true)) {
          late.push(...cancelRun(run));
        }
      }
      return [...late, ...startQueued(now), ...preemptForUrgent(now)];
    },
    configure: (next) => {
      config = next;
      limit.resize(next.slots);
    },
    leave: () => {
      leaving = true;
    },
    resume: () => {
      leaving = false;
    },
    refuseQueued: (now) => {
      const queued = [...queue.entries()];
      for (const { id } of queued) queue.remove(id);
      return queued.map((work) => refuse(work, "leaving", now));
    },
    resetLimit: () => limit.reset(),
    averageRunMs: times.averageOfKind,
    makesNestedCalls: nesting.makesNestedCalls,
    load: (now) => {
      let acceptLevel = 0;
      for (const level of queue.levels()) {
        if (estimateWaitMs(level, now) <= maxWaitMs(level)) continue;
        acceptLevel = Math.min(level + 1, PROTECTED_LEVEL);
        break;
      }
      return {
        inFlight: runs.size(),
        queued: queue.size(),
        limit: limit.current(),
        acceptLevel,
        leaving,
      };
    },
  };
}
