/**
 * Admission control of one backend server: decides which work runs, which is
 * queued and which is refused. Free of side effects outside its own state: the
 * caller performs the returned actions.
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
import { createRateLimit } from "./rate_limit.ts";
import { createActiveRuns, type Run } from "./running.ts";
import { createServiceTime } from "./service_time.ts";
import { createThrottle } from "./throttle.ts";
import type { GateAction, Work } from "./work.ts";
import { createWorkQueue, type SelectionContext } from "./work_queue.ts";

/** Resolved configuration of an admission gate. */
export interface AdmissionConfig {
  /** Number of calls that the backend server runs concurrently. */
  readonly slots: number;
  /** Guaranteed minimum share of the concurrency limit by kind, 0 to 1. */
  readonly floors: ReadonlyMap<string, number>;
  /**
   * Longest estimated wait in ms with which an unprotected request is queued.
   * @default QUEUE_WAIT_MAX_MS
   */
  readonly maxQueueWaitMs?: number;
  /**
   * Minimum time between two adjustments of the throttle: a fixed period, or
   * the average run time of the kind if that is longer. "run_time" is for
   * runs whose refused nested calls become known only when the run ends.
   * @default "fixed"
   */
  readonly throttleInterval?: "fixed" | "run_time";
  /**
   * Share of the slots below which overload does not lower the limit, 0 to 1.
   * @default 0
   */
  readonly minLimitShare?: number;
}

/** How a run ended. */
export interface RunResult {
  /** Whether the backend server shed the call. */
  readonly shed: boolean;
  /**
   * Whether its nested calls kept it from answering: one was refused, or the
   * run spent its time until the deadline waiting for them.
   */
  readonly starved?: boolean;
  /** Whether it made nested calls, that is calls of its own while it ran. */
  readonly nested?: boolean;
}

/** Load of a gate, as reported with every answer. */
export interface GateLoad {
  readonly inFlight: number;
  readonly queued: number;
  readonly limit: number;
  /** Lowest level that the gate accepts at present. */
  readonly acceptLevel: number;
  readonly leaving: boolean;
}

/** The admission gate of one backend server. */
export interface Admission {
  /** Starts, queues or refuses new work. */
  readonly offer: (work: Work, now: number) => readonly GateAction[];
  /** Records the end of a run and starts queued work. */
  readonly finish: (
    id: string,
    result: RunResult,
    options: { readonly now: number },
  ) => readonly GateAction[];
  /**
   * Drops work whose caller no longer waits. A run is cancelled if it is
   * cancellable, and continues otherwise.
   */
  readonly abandon: (id: string, now: number) => readonly GateAction[];
  /**
   * Applies the passing of time: cancels overdue runs that are cancellable or
   * stop at their deadline, refuses queued work that cannot finish in time,
   * starts queued work, and cancels less important runs for protected work that
   * must start now.
   */
  readonly tick: (now: number) => readonly GateAction[];
  /** Applies changed slots and floors; other fields keep their values. */
  readonly configure: (config: AdmissionConfig) => void;
  /**
   * Sets the rate at which work is started, in calls per second; undefined
   * removes the limit.
   */
  readonly setRate: (callsPerS: number | undefined, now: number) => void;
  /** Refuses new work from now on; queued work still runs. */
  readonly leave: () => void;
  /** Accepts new work again after `leave`. */
  readonly resume: () => void;
  /** Removes and refuses all queued work. */
  readonly refuseQueued: (now: number) => readonly GateAction[];
  /**
   * Sets the concurrency limit to its cold-start value after the backend
   * server was replaced.
   */
  readonly resetLimit: () => void;
  /** The load at present. */
  readonly load: (now: number) => GateLoad;
  /** Average run time of a kind in ms; 0 while unknown. */
  readonly averageRunMs: (kind: string) => number;
  /** Whether runs of a kind make nested calls. */
  readonly makesNestedCalls: (kind: string) => boolean;
}

type Refusal = Extract<GateAction, { readonly kind: "refuse" }>;

function isProtected(work: Work): boolean {
  return work.level >= PROTECTED_LEVEL;
}

/**
 * Only unprotected requests are throttled. Refusing a nested call makes its
 * parent run fail, which in turn would keep the throttle active.
 */
function isThrottled(work: Work): boolean {
  return !isProtected(work) && isRequestLevel(work.level);
}

/** Creates the admission gate of an idle backend server. */
export function createAdmission(initial: AdmissionConfig): Admission {
  let config = initial;
  const maxQueueWaitMs = initial.maxQueueWaitMs ?? QUEUE_WAIT_MAX_MS;
  const queue = createWorkQueue();
  const limit = createConcurrencyLimit(initial.slots, initial.minLimitShare);
  const times = createServiceTime();
  const throttle = createThrottle();
  const nesting = createNesting();
  const runs = createActiveRuns();
  const rate = createRateLimit();
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
    const slotWaitMs = (ahead * times.averageOverall() * runs.slowdown(now)) /
      limit.current();
    return Math.max(slotWaitMs, rate.waitMs(ahead, now));
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
    const makesNestedCalls = nesting.makesNestedCalls(work.kind);
    const expectedMs = times.averageOfKind(work.kind);
    runs.start(work, { now, expectedMs, makesNestedCalls });
    rate.take(now);
    return { kind: "run", work };
  }

  /**
   * Whether work of a kind and level may take another slot. Unprotected runs
   * that make nested calls leave a reserve of slots for deeper calls.
   */
  function mayTakeSlot(kind: string, level: number, now: number): boolean {
    if (level >= PROTECTED_LEVEL || !nesting.makesNestedCalls(kind)) {
      return true;
    }
    const share = nesting.maxNestedShare(depthOf(level), now);
    return runs.nestedCount() <
      Math.max(1, Math.floor(limit.current() * share));
  }

  function hasSlotFor(work: Work, now: number): boolean {
    if (!rate.allows(now) || runs.exclusiveCount() > 0) return false;
    if (work.exclusive) return runs.size() === 0;
    if (!mayTakeSlot(work.kind, work.level, now)) return false;
    return runs.size() < limit.current();
  }

  /**
   * Whether all queued protected work still meets its deadlines if one slot
   * goes to other work, even if the backend server becomes slower.
   */
  function protectedMeetsDeadlines(now: number): boolean {
    const protectedCount = queue.countAtOrAbove(PROTECTED_LEVEL);
    if (protectedCount === 0) return true;
    const rounds = Math.ceil((protectedCount + 1) / limit.current());
    for (const work of queue.entries()) {
      if (!isProtected(work)) continue;
      const expectedMs = rounds * times.averageOverall() +
        times.averageOfKind(work.kind);
      const neededMs = expectedMs * runs.slowdown(now) * FLOOR_SLOWDOWN_FACTOR;
      if (now + neededMs > work.deadlineAt) return false;
    }
    return true;
  }

  /**
   * A kind that has queued work and uses fewer slots than its floor; undefined
   * if there is none or if serving it would endanger protected work.
   */
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
    const context = selectionContext(now);
    const top = queue.selectNext(context);
    if (top === undefined) return undefined;
    const kindToServe = config.floors.size > 0
      ? kindBelowFloor(now)
      : undefined;
    if (kindToServe === undefined) return top;
    return queue.selectNextOfKind(kindToServe, context) ?? top;
  }

  /** Refuses queued work that cannot finish in time and fills free slots. */
  function startQueued(now: number): GateAction[] {
    const actions: GateAction[] = [];
    const minRunMs = (kind: string) =>
      times.averageOfKind(kind) * SHORT_RUN_FACTOR;
    for (const work of queue.expire(now, minRunMs)) {
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
    const length = config.slots * QUEUE_ENTRIES_PER_SLOT;
    return Math.max(QUEUE_ENTRIES_MIN, length);
  }

  /**
   * Longest estimated wait in ms with which unprotected work is queued. It
   * grows with the depth of nested calls, because refusing one wastes the work
   * that its parent run has done already. At a low rate one call may wait, so
   * that the most important one that has come is sent next.
   */
  function maxWaitMs(level: number): number {
    const depthWaitMs = maxQueueWaitMs * (1 + depthOf(level));
    return Math.max(depthWaitMs, rate.intervalMs());
  }

  /**
   * Runs that the backend server can take at a time: at a limited rate, as many
   * as are in flight on average.
   */
  function effectiveLimit(): number {
    const intervalMs = rate.intervalMs();
    const averageMs = times.averageOverall();
    if (intervalMs === 0 || averageMs === 0) return limit.current();
    const inFlight = Math.floor(averageMs / intervalMs);
    return Math.max(1, Math.min(limit.current(), inFlight));
  }

  function canFinishInTime(work: Work, now: number): boolean {
    const waitMs = estimateWaitMs(work.level, now);
    if (!isProtected(work) && waitMs > maxWaitMs(work.level)) return false;
    const runMs = times.averageOfKind(work.kind) * runs.slowdown(now) *
      LONG_RUN_FACTOR;
    return now + waitMs + runMs <= work.deadlineAt;
  }

  /**
   * Makes room in a full queue by evicting less important work. Returns
   * undefined if there is none.
   */
  function evictFor(work: Work, now: number): GateAction[] | undefined {
    if (queue.size() < maxQueueLength()) return [];
    const toEvict = queue.selectEviction(selectionContext(now));
    if (toEvict === undefined || toEvict.level >= work.level) {
      return undefined;
    }
    queue.remove(toEvict.id);
    return [refuse(toEvict, "evicted", now)];
  }

  /**
   * Queues protected work and cancels a less important run for it; refuses the
   * work if no run can be cancelled.
   */
  function preemptFor(work: Work, now: number): GateAction[] {
    // A cancelled run gives back its slot, but not its share of the rate.
    const toCancel = rate.allows(now)
      ? runs.findPreemptible(PROTECTED_LEVEL)
      : undefined;
    if (toCancel === undefined) return [refuse(work, "overload", now)];
    // If nothing can be evicted, the work is queued beyond the maximum length.
    // Each cancelled run allows one such entry, so the excess is bounded.
    const evicted = evictFor(work, now) ?? [];
    queue.push(work);
    return [...evicted, ...cancelRun(toCancel)];
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

  /** Whether queued work misses its deadline unless it starts at once. */
  function mustStartNow({ kind, deadlineAt }: Work, now: number): boolean {
    const runMs = times.averageOfKind(kind) * runs.slowdown(now) *
      LONG_RUN_FACTOR;
    // A kind with unknown run time may need all the time until its deadline.
    return runMs === 0 || now + runMs >= deadlineAt;
  }

  /**
   * Cancels a less important run for each queued piece of protected work that
   * must start now, less the runs that are being cancelled already.
   */
  function preemptForUrgent(now: number): GateAction[] {
    if (queue.countAtOrAbove(PROTECTED_LEVEL) === 0) return [];
    if (!rate.allows(now)) return [];
    let needed = -runs.cancellingCount();
    for (const work of queue.entries()) {
      if (isProtected(work) && mustStartNow(work, now)) needed++;
    }
    const actions: GateAction[] = [];
    while (needed-- > 0) {
      const toCancel = runs.findPreemptible(PROTECTED_LEVEL);
      if (toCancel === undefined) break;
      actions.push(...cancelRun(toCancel));
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
      // The queued work ahead may be of a kind that must leave a reserve of
      // slots free, so the new work may be able to start.
      const actions = [
        ...before,
        ...enqueueOrRefuse(work, now),
        ...startQueued(now),
      ];
      return [...actions, ...preemptForUrgent(now)];
    },
    finish: (id, result, { now }) => {
      const inFlight = runs.size();
      const run = runs.end(id);
      if (run === undefined) return [];
      const sample = { inFlight, overloaded: result.shed };
      if (result.nested) nesting.recordNestedCalls(run.work.kind);
      limit.observe(sample, now);
      if (isThrottled(run.work)) {
        const isRunTimeInterval = initial.throttleInterval === "run_time";
        const averageRunMs = isRunTimeInterval
          ? times.averageOfKind(run.work.kind)
          : 0;
        const observed = { now, averageRunMs };
        throttle.observe(run.work.kind, result.starved ?? false, observed);
      }
      if (!result.shed && !run.cancelling) {
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
      const cancels: GateAction[] = [];
      for (const run of runs.all()) {
        const { deadlineAt, cancellable, stopsAtDeadline } = run.work;
        const overdue = deadlineAt + RUN_DEADLINE_GRACE_MS <= now;
        if (overdue && (cancellable || stopsAtDeadline === true)) {
          cancels.push(...cancelRun(run));
        }
      }
      return [...cancels, ...startQueued(now), ...preemptForUrgent(now)];
    },
    configure: (next) => {
      config = next;
      limit.resize(next.slots);
    },
    setRate: rate.set,
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
        limit: effectiveLimit(),
        acceptLevel,
        leaving,
      };
    },
  };
}
