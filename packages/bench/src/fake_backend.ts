/**
 * A simulated backend server. It runs calls in its slots, takes a random
 * service time for each, and can crash, start cold and leave.
 */

import type { RandomSource } from "./random.ts";
import type { Timeline } from "./timeline.ts";
import type { CallTree } from "./workload.ts";

/** A run of a call on a fake backend server. */
export interface FakeRun {
  readonly runId: string;
  /** Id of the request, shared by its resends. */
  readonly rootId: string;
  /** Id of one sending; a call that must not run twice uses `rootId`. */
  readonly requestId: string;
  readonly caller: string;
  readonly tree: CallTree;
  /** Whether it crashes the backend server that runs it. */
  readonly poison: boolean;
  /** Whether it fails after its service time. */
  readonly failing: boolean;
}

/**
 * How a run ends: "shed" if all connections are in use, "lost" if the backend
 * server crashed, "not_sent" if it was down already. An answer carries the id
 * of its request.
 */
export type FakeRunResult =
  | { readonly kind: "answered"; readonly rootId: string }
  | { readonly kind: "failed" }
  | { readonly kind: "shed" }
  | { readonly kind: "lost" }
  | { readonly kind: "not_sent" }
  | { readonly kind: "cancelled" };

/**
 * Counts by all fake backend servers. The policy does not see them, so they
 * show whether what callers are told is true.
 */
export interface RunCounts {
  /** Runs by root id, for calls that must not run twice. */
  readonly runsOnce: Map<string, number>;
  /** Request ids of which any call was started. */
  readonly startedRequests: Set<string>;
  /** Runs by request id and depth in the call tree. */
  readonly runsPerDepth: Map<string, number>;
  runs: number;
  /** Crashes caused by poison requests. */
  poisonCrashes: number;
  /** Calls in progress or queued when a leaving backend server stopped. */
  cutInFlight: number;
  /** Latest start of a run after its backend server began to leave. */
  lastRunAfterLeavingMs: number;
}

/** Creates counts that are all 0. */
export function createRunCounts(): RunCounts {
  return {
    runsOnce: new Map(),
    startedRequests: new Set(),
    runsPerDepth: new Map(),
    runs: 0,
    poisonCrashes: 0,
    cutInFlight: 0,
    lastRunAfterLeavingMs: 0,
  };
}

/** Configuration of a fake backend server. */
export interface FakeBackendConfig {
  readonly timeline: Timeline;
  readonly rng: RandomSource;
  readonly runCounts: RunCounts;
  readonly service: string;
  readonly slots: number;
  /** Largest number of runs in progress and queued together. */
  readonly connections: number;
  /** Mean service time at present, without nested calls. */
  readonly serviceMs: () => number;
  /** Makes the nested calls and reports whether all were answered. */
  readonly makeNestedCalls: (
    run: FakeRun,
    done: (answered: boolean) => void,
  ) => { readonly cancel: () => void };
}

/** Controls of a fake backend server. */
export interface FakeBackend {
  /** Runs a call, queues it if all slots are in use, or sheds it. */
  readonly run: (
    run: FakeRun,
    done: (end: FakeRunResult) => void,
  ) => { readonly cancel: () => void };
  /**
   * Loses all runs and restarts after `restartMs`. Service times are longer for
   * `coldMs` from then on.
   */
  readonly crash: (options: { restartMs: number; coldMs: number }) => void;
  /** Announces that the backend server stops after its grace period. */
  readonly startLeaving: () => void;
  /** Replaces a leaving backend server by a new one that is not cold. */
  readonly replace: () => void;
  readonly isLeaving: () => boolean;
  readonly isDown: () => boolean;
  /** When it was last started; 0 if it has never crashed. */
  readonly upSince: () => number;
  readonly inFlight: () => number;
}

/** Time from the announcement that a backend server leaves to its stop. */
const LEAVING_GRACE_MS = 8_000;
/** Factor on service times while a backend server is cold. */
const COLD_FACTOR = 5;

/** A run that holds a slot or waits for one. */
interface AcceptedRun {
  readonly run: FakeRun;
  readonly finish: (end: FakeRunResult) => void;
  nestedCalls: { readonly cancel: () => void } | undefined;
  ended: boolean;
}

function increment<Key>(counts: Map<Key, number>, key: Key): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

/** Creates a backend server that is not cold. */
export function createFakeBackend(config: FakeBackendConfig): FakeBackend {
  const { timeline, rng, runCounts } = config;
  const active = new Set<AcceptedRun>();
  // Calls beyond the slots are queued, up to the number of connections.
  const queued: AcceptedRun[] = [];
  let down = false;
  let upSince = 0;
  let coldUntil = 0;
  let leavingAt: number | undefined;
  /** Times of the latest restart; a crash by a poison request reuses them. */
  let restartOptions = { restartMs: 2_000, coldMs: 3_000 };

  function startRun(entry: AcceptedRun): void {
    const { run } = entry;
    active.add(entry);
    countRun(run);
    if (run.poison) {
      runCounts.poisonCrashes++;
      return crash(restartOptions);
    }
    const coldFactor = timeline.now() < coldUntil ? COLD_FACTOR : 1;
    // Uniformly distributed from 0.5 to 1.5 times the mean.
    const durationMs = config.serviceMs() * coldFactor * (0.5 + rng.uniform());
    timeline.after(durationMs, () => {
      if (entry.ended) return;
      if (run.failing) return endRun(entry, { kind: "failed" });
      if (run.tree.children.length === 0) return endAnswered(entry);
      entry.nestedCalls = config.makeNestedCalls(run, (answered) => {
        if (answered) endAnswered(entry);
        else endRun(entry, { kind: "failed" });
      });
    });
  }

  function countRun(run: FakeRun): void {
    runCounts.runs++;
    runCounts.startedRequests.add(run.requestId);
    increment(runCounts.runsPerDepth, `${run.requestId} ${run.tree.depth}`);
    if (!run.tree.kind.idempotent) increment(runCounts.runsOnce, run.rootId);
    if (leavingAt !== undefined) {
      runCounts.lastRunAfterLeavingMs = Math.max(
        runCounts.lastRunAfterLeavingMs,
        timeline.now() - leavingAt,
      );
    }
  }

  function endAnswered(entry: AcceptedRun): void {
    endRun(entry, { kind: "answered", rootId: entry.run.rootId });
  }

  function endRun(entry: AcceptedRun, result: FakeRunResult): void {
    if (entry.ended) return;
    entry.ended = true;
    active.delete(entry);
    entry.nestedCalls?.cancel();
    entry.finish(result);
    if (down) return;
    const next = queued.shift();
    if (next !== undefined) startRun(next);
  }

  function crash(options: { restartMs: number; coldMs: number }): void {
    restartOptions = options;
    down = true;
    for (const entry of [...active, ...queued]) {
      entry.ended = true;
      entry.nestedCalls?.cancel();
      entry.finish({ kind: "lost" });
    }
    active.clear();
    queued.length = 0;
    timeline.after(options.restartMs, () => {
      down = false;
      upSince = timeline.now();
      coldUntil = timeline.now() + options.coldMs;
    });
  }

  function cancel(entry: AcceptedRun): void {
    if (entry.ended) return;
    const index = queued.indexOf(entry);
    if (index >= 0) queued.splice(index, 1);
    endRun(entry, { kind: "cancelled" });
  }

  return {
    run: (run, finish) => {
      const entry: AcceptedRun = {
        run,
        finish,
        nestedCalls: undefined,
        ended: false,
      };
      if (down) finish({ kind: "not_sent" });
      else if (active.size < config.slots) startRun(entry);
      else if (active.size + queued.length >= config.connections) {
        finish({ kind: "shed" });
      } else queued.push(entry);
      return { cancel: () => cancel(entry) };
    },
    crash,
    startLeaving: () => {
      leavingAt = timeline.now();
      const announcedAt = leavingAt;
      // A backend server stops after the grace period, even with runs in
      // progress. They are only counted here, not ended.
      timeline.after(LEAVING_GRACE_MS, () => {
        if (leavingAt !== announcedAt) return;
        runCounts.cutInFlight += active.size + queued.length;
      });
    },
    replace: () => {
      leavingAt = undefined;
    },
    isLeaving: () => leavingAt !== undefined,
    isDown: () => down,
    upSince: () => upSince,
    inFlight: () => active.size,
  };
}
