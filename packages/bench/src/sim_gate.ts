/**
 * Gate of a simulated node: admits attempts, runs them on the backend server
 * and detects when the backend server dies.
 */

import {
  type Admission,
  type AttemptEnd,
  type Death,
  type GateAction,
  type Outcome,
  refused,
  type RetryLedger,
  type Suspects,
  unknown,
  type Work,
} from "@coltsfootdeal/policy";
import { GOSSIP_SPREAD_MS } from "./constants.ts";
import {
  createFakeBackend,
  type FakeBackend,
  type FakeRun,
  type FakeRunResult,
} from "./fake_backend.ts";
import type {
  Attempt,
  ParentRun,
  PendingCall,
  SimulatedCall,
  SimulatedResult,
  SimulationContext,
} from "./sim_types.ts";
import type { WorkloadService } from "./workload.ts";

/** Runs that are lost within this time are attributed to one death. */
const LOSS_WINDOW_MS = 50;

/** What a gate uses of its node. */
export interface SimGateConfig {
  readonly id: string;
  readonly service: WorkloadService;
  readonly ledger: RetryLedger;
  /** Calls that may have crashed a backend server. */
  readonly suspects: Suspects;
  /** Runs a function, after the pause if the process is paused. */
  readonly deferWhilePaused: (run: () => void) => void;
  /** Makes a nested call through the ingress of the same node. */
  readonly handle: (
    call: SimulatedCall,
    done: (result: SimulatedResult) => void,
  ) => PendingCall;
}

/** A gate and the backend server behind it. */
export interface SimGate {
  readonly backend: FakeBackend;
  readonly admission: () => Admission;
  /** Offers an attempt to the admission control. */
  readonly submit: (attempt: Attempt, work: Work) => void;
  /** Withdraws an attempt whose caller no longer waits. */
  readonly abandon: (runId: string) => void;
  /** Lets the admission control apply the passing of time. */
  readonly tick: () => void;
  /** Replaces the admission control by one without work. */
  readonly reset: () => void;
  /** When work below a level was last started; -Infinity if never. */
  readonly lastStartBelow: (level: number) => number;
  /** Whether a run below a level could still be cancelled. */
  readonly hasCancellableBelow: (level: number) => boolean;
}

/** Guaranteed share of the slots by kind, for the kinds that have one. */
function guaranteedSharesOf(
  simulation: SimulationContext,
  service: string,
): ReadonlyMap<string, number> {
  const kinds = simulation.workload.catalog.kindsOf(service);
  const guaranteed = kinds.filter((kind) => kind.floor > 0);
  return new Map(guaranteed.map((kind) => [kind.name, kind.floor]));
}

/** Creates a gate and its idle backend server. */
export function createSimGate(
  simulation: SimulationContext,
  config: SimGateConfig,
): SimGate {
  const { variant, timeline, rng, runCounts } = simulation;
  const { id, service, ledger, suspects, deferWhilePaused, handle } = config;
  const guaranteedShares = guaranteedSharesOf(simulation, service.name);
  /** Queued and running attempts by run id. */
  const attempts = new Map<string, Attempt>();
  const runningWork = new Map<string, Work>();
  /** Runs whose cancellation was requested. */
  const cancelling = new Set<string>();
  /** Runs with a refused nested call at any depth (`starved` in the policy). */
  const starvedRuns = new Set<string>();
  /** Time of the latest start while the backend server was up, by level. */
  const lastStartByLevel = new Map<number, number>();
  /** Values that the nested calls of a run inherit, by run id. */
  const parentRuns = new Map<string, ParentRun>();
  let admission = variant.createGate(service.slots, guaranteedShares);
  let deaths = 0;

  const backend = createFakeBackend({
    timeline,
    rng,
    runCounts,
    service: service.name,
    slots: service.slots,
    connections: service.connections,
    serviceMs: () =>
      service.serviceMs * simulation.serviceTimeFactor(service.name),
    makeNestedCalls,
  });

  /** Makes the nested calls of a run one after the other. */
  function makeNestedCalls(
    run: FakeRun,
    done: (answered: boolean) => void,
  ): PendingCall {
    const parent = parentRuns.get(run.runId);
    let current: PendingCall | undefined;
    let cancelled = false;
    const children = [...run.tree.children];

    function callNextChild(): void {
      const tree = children.shift();
      if (cancelled) return;
      if (tree === undefined || parent === undefined) {
        return done(tree === undefined);
      }
      const child: SimulatedCall = {
        rootId: run.rootId,
        requestId: run.requestId,
        caller: run.caller,
        resend: false,
        poison: false,
        failing: run.failing,
        tree,
        parentLevel: parent.level,
        weight: parent.weight,
        deadlineAt: parent.deadlineAt,
        retryAllowance: ledger.split(run.runId),
      };
      current = handle(child, (result) => {
        ledger.credit(run.runId, result.unusedRetries);
        if (result.outcome.kind === "answered") return callNextChild();
        const { outcome } = result;
        const isRefused = outcome.kind === "refused" ||
          (outcome.kind === "failed" && outcome.starved);
        if (isRefused) starvedRuns.add(run.runId);
        done(false);
      });
    }
    deferWhilePaused(callNextChild);
    return {
      cancel: () => {
        cancelled = true;
        if (variant.propagatesCancellation) current?.cancel();
      },
    };
  }

  function performActions(actions: readonly GateAction[]): void {
    for (const action of actions) {
      const attempt = attempts.get(action.work.id);
      if (attempt === undefined) continue;
      if (action.kind === "run") startRun(attempt, action.work);
      else if (action.kind === "cancel") {
        cancelling.add(attempt.runId);
        attempt.run?.cancel();
      } else endAttempt(attempt, refused(action.reason, action.retryAfterMs));
    }
  }

  function startRun(attempt: Attempt, work: Work): void {
    const { call, runId } = attempt;
    const now = timeline.now();
    attempt.startedAt = now;
    runningWork.set(runId, work);
    if (!backend.isDown()) lastStartByLevel.set(work.level, now);
    ledger.open(runId, attempt.retryAllowance);
    const { weight, deadlineAt } = call;
    parentRuns.set(runId, { level: work.level, weight, deadlineAt });
    const run = {
      runId,
      rootId: call.rootId,
      requestId: call.requestId,
      caller: call.caller,
      tree: call.tree,
      poison: call.poison,
      failing: call.failing && call.tree.children.length === 0,
    };
    attempt.run = backend.run(
      run,
      (end) => deferWhilePaused(() => onRunEnded(attempt, end)),
    );
  }

  /** Reports the end of a run to the admission control and the ingress. */
  function onRunEnded(attempt: Attempt, end: FakeRunResult): void {
    const now = timeline.now();
    if (end.kind === "lost") return onRunLost(attempt);
    if (end.kind === "answered" && attempt.digest !== "") {
      suspects.clear(attempt.digest, now);
    }
    const shed = end.kind === "shed";
    const isStarved = starvedRuns.delete(attempt.runId);
    const nested = attempt.call.tree.children.length > 0;
    const finished = { shed, starved: isStarved, nested };
    const actions = admission.finish(attempt.runId, finished, { now });
    switch (end.kind) {
      case "answered":
        endAttempt(attempt, { kind: "answered" }, { rootId: end.rootId });
        break;
      case "failed":
        endAttempt(attempt, { kind: "failed", starved: isStarved });
        break;
      case "shed":
        endAttempt(attempt, refused("shed"));
        break;
      case "not_sent":
        endAttempt(attempt, refused("unreachable"));
        break;
      case "cancelled":
        endAttempt(attempt, unknown("cancelled"));
    }
    performActions(actions);
  }

  let lostAttempts: Attempt[] = [];
  /** Collects lost runs and reports them together as one death. */
  function onRunLost(attempt: Attempt): void {
    lostAttempts.push(attempt);
    if (lostAttempts.length > 1) return;
    timeline.after(LOSS_WINDOW_MS, () => deferWhilePaused(reportDeath));
  }

  /**
   * Records one death for all collected runs, here at once and at all nodes
   * after the gossip delay, and ends their attempts.
   */
  function reportDeath(): void {
    const now = timeline.now();
    const batch = lostAttempts;
    lostAttempts = [];
    deaths++;
    const death = {
      id: `${id}/${deaths}`,
      instance: id,
      at: now,
      digests: batch.map(({ digest }) => digest),
    };
    admission.resetLimit();
    suspects.record(death);
    for (const member of simulation.members()) {
      const after = GOSSIP_SPREAD_MS;
      timeline.after(after, () => member.suspects.record(death));
    }
    for (const lostAttempt of batch) {
      performActions(
        admission.finish(lostAttempt.runId, { shed: false }, { now }),
      );
    }
    for (const lostAttempt of batch) {
      endAttempt(lostAttempt, unknown("backend_died"), { death });
    }
  }

  /** Removes an attempt and replies to the ingress that sent it. */
  function endAttempt(
    attempt: Attempt,
    outcome: Outcome,
    details: { readonly rootId?: string; readonly death?: Death } = {},
  ): void {
    attempts.delete(attempt.runId);
    runningWork.delete(attempt.runId);
    cancelling.delete(attempt.runId);
    parentRuns.delete(attempt.runId);
    const unspent = attempt.startedAt === undefined
      ? attempt.retryAllowance
      : ledger.close(attempt.runId);
    const end: AttemptEnd = outcome.kind === "answered" ||
        outcome.kind === "failed"
      ? { ...outcome, unspent }
      : outcome;
    const { rootId, death } = details;
    const slotMs = attempt.startedAt === undefined
      ? 0
      : timeline.now() - attempt.startedAt;
    attempt.reply({ end, rootId, death, slotMs });
  }

  return {
    backend,
    admission: () => admission,
    submit: (attempt, work) => {
      attempts.set(attempt.runId, attempt);
      performActions(admission.offer(work, timeline.now()));
    },
    abandon: (runId) => {
      const attempt = attempts.get(runId);
      performActions(admission.abandon(runId, timeline.now()));
      if (attempt && attempt.startedAt === undefined) attempts.delete(runId);
    },
    tick: () => performActions(admission.tick(timeline.now())),
    reset: () => {
      admission = variant.createGate(service.slots, guaranteedShares);
    },
    lastStartBelow: (level) => {
      let latest = -Infinity;
      for (const [otherLevel, at] of lastStartByLevel) {
        if (otherLevel < level) latest = Math.max(latest, at);
      }
      return latest;
    },
    hasCancellableBelow: (level) => {
      for (const [runId, work] of runningWork) {
        const isCancellable = work.cancellable && !cancelling.has(runId);
        if (isCancellable && work.level < level) return true;
      }
      return false;
    },
  };
}
