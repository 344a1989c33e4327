/** The gate side of a simulated node: admission, runs, deaths. */

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
import { GOSSIP_MS } from "./constants.ts";
import {
  createFakeBackend,
  type FakeBackend,
  type FakeEnd,
  type FakeRun,
} from "./fake_backend.ts";
import type {
  Job,
  Parent,
  Pending,
  SimulatedCall,
  SimulatedResult,
  World,
} from "./sim_types.ts";
import type { WorkloadService } from "./workload.ts";

/** Time for which lost runs are gathered. */
const LOSS_WINDOW_MS = 50;

/** What the gate side works with. */
export interface SimGateConfig {
  readonly id: string;
  readonly service: WorkloadService;
  readonly ledger: RetryLedger;
  readonly suspects: Suspects;
  readonly asProcess: (run: () => void) => void;
  /** Makes a call further down through the node's own ingress. */
  readonly handle: (
    call: SimulatedCall,
    done: (result: SimulatedResult) => void,
  ) => Pending;
}

/** The gate side of a node. */
export interface SimGate {
  readonly backend: FakeBackend;
  readonly admission: () => Admission;
  readonly submit: (job: Job, work: Work) => void;
  readonly abandon: (runId: string) => void;
  readonly tick: () => void;
  /** Starts anew with an empty admission. */
  readonly reset: () => void;
  readonly lesserStartedAt: (level: number) => number;
  readonly lesserCancellable: (level: number) => boolean;
}

function floorsOf(world: World, service: string): ReadonlyMap<string, number> {
  const kinds = world.workload.catalog.kindsOf(service);
  const floored = kinds.filter((kind) => kind.floor > 0);
  return new Map(floored.map((kind) => [kind.name, kind.floor]));
}

/** Creates the gate side of a node with an idle backend server. */
export function createSimGate(world: World, config: SimGateConfig): SimGate {
  const { variant, timeline, draw, truth } = world;
  const { id, service, ledger, suspects, asProcess, handle } = config;
  const floors = floorsOf(world, service.name);
  const jobs = new Map<string, Job>();
  const runningWork = new Map<string, Work>();
  const cancelling = new Set<string>();
  /** Runs one of whose calls further down was refused. */
  const starved = new Set<string>();
  const startedAt = new Map<number, number>();
  const parents = new Map<string, Parent>();
  let gate = variant.createGate(service.slots, floors);
  let deaths = 0;

  const backend = createFakeBackend({
    timeline,
    draw,
    truth,
    service: service.name,
    slots: service.slots,
    connections: service.connections,
    serviceMs: () => service.serviceMs * world.slowness(service.name),
    callChildren,
  });

  /** The backend server's calls further down go to the node beside it. */
  function callChildren(
    run: FakeRun,
    done: (answered: boolean) => void,
  ): Pending {
    const parent = parents.get(run.runId);
    let current: Pending | undefined;
    let cancelled = false;
    const children = [...run.tree.children];

    function next(): void {
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
        allowance: ledger.split(run.runId),
      };
      current = handle(child, (result) => {
        ledger.credit(run.runId, result.unspent);
        if (result.outcome.kind === "answered") return next();
        const { outcome } = result;
        const refusedBelow = outcome.kind === "refused" ||
          (outcome.kind === "failed" && outcome.starved);
        if (refusedBelow) starved.add(run.runId);
        done(false);
      });
    }
    asProcess(next);
    return {
      cancel: () => {
        cancelled = true;
        if (variant.cancels) current?.cancel();
      },
    };
  }

  function perform(actions: readonly GateAction[]): void {
    for (const action of actions) {
      const job = jobs.get(action.work.id);
      if (job === undefined) continue;
      if (action.kind === "run") start(job, action.work);
      else if (action.kind === "cancel") {
        cancelling.add(job.runId);
        job.run?.cancel();
      } else finish(job, refused(action.reason, action.retryAfterMs));
    }
  }

  function start(job: Job, work: Work): void {
    const { call, runId } = job;
    const now = timeline.now();
    job.startedAt = now;
    runningWork.set(runId, work);
    if (!backend.isDown()) startedAt.set(work.level, now);
    ledger.open(runId, job.allowance);
    const { weight, deadlineAt } = call;
    parents.set(runId, { level: work.level, weight, deadlineAt });
    const run = {
      runId,
      rootId: call.rootId,
      requestId: call.requestId,
      caller: call.caller,
      tree: call.tree,
      poison: call.poison,
      failing: call.failing && call.tree.children.length === 0,
    };
    job.run = backend.run(run, (end) => asProcess(() => ended(job, end)));
  }

  function ended(job: Job, end: FakeEnd): void {
    const now = timeline.now();
    if (end.kind === "lost") return lost(job);
    if (end.kind === "answered" && job.digest !== "") {
      suspects.clear(job.digest, now);
    }
    const shed = end.kind === "shed";
    const isStarved = starved.delete(job.runId);
    const nested = job.call.tree.children.length > 0;
    const finished = { shed, starved: isStarved, nested };
    const actions = gate.finish(job.runId, finished, { now });
    switch (end.kind) {
      case "answered":
        finish(job, { kind: "answered" }, { rootId: end.rootId });
        break;
      case "failed":
        finish(job, { kind: "failed", starved: isStarved });
        break;
      case "shed":
        finish(job, refused("shed"));
        break;
      case "not_sent":
        finish(job, refused("unreachable"));
        break;
      case "cancelled":
        finish(job, unknown("cancelled"));
    }
    perform(actions);
  }

  let lostJobs: Job[] = [];
  /** All runs that are lost together make one death. */
  function lost(job: Job): void {
    lostJobs.push(job);
    if (lostJobs.length > 1) return;
    timeline.after(LOSS_WINDOW_MS, () => asProcess(died));
  }

  function died(): void {
    const now = timeline.now();
    const victims = lostJobs;
    lostJobs = [];
    deaths++;
    const death = {
      id: `${id}/${deaths}`,
      instance: id,
      at: now,
      digests: victims.map(({ digest }) => digest),
    };
    gate.resetLimit();
    suspects.record(death);
    for (const member of world.members()) {
      const after = GOSSIP_MS;
      timeline.after(after, () => member.suspects.record(death));
    }
    for (const victim of victims) {
      perform(gate.finish(victim.runId, { shed: false }, { now }));
    }
    for (const victim of victims) {
      finish(victim, unknown("backend_died"), { death });
    }
  }

  function finish(
    job: Job,
    outcome: Outcome,
    details: { readonly rootId?: string; readonly death?: Death } = {},
  ): void {
    jobs.delete(job.runId);
    runningWork.delete(job.runId);
    cancelling.delete(job.runId);
    parents.delete(job.runId);
    const unspent = job.startedAt === undefined
      ? job.allowance
      : ledger.close(job.runId);
    const end: AttemptEnd = outcome.kind === "answered" ||
        outcome.kind === "failed"
      ? { ...outcome, unspent }
      : outcome;
    const { rootId, death } = details;
    const slotMs = job.startedAt === undefined
      ? 0
      : timeline.now() - job.startedAt;
    job.reply({ end, rootId, death, slotMs });
  }

  return {
    backend,
    admission: () => gate,
    submit: (job, work) => {
      jobs.set(job.runId, job);
      perform(gate.offer(work, timeline.now()));
    },
    abandon: (runId) => {
      const job = jobs.get(runId);
      perform(gate.abandon(runId, timeline.now()));
      if (job && job.startedAt === undefined) jobs.delete(runId);
    },
    tick: () => perform(gate.tick(timeline.now())),
    reset: () => {
      gate = variant.createGate(service.slots, floors);
    },
    lesserStartedAt: (level) => {
      let latest = -Infinity;
      for (const [other, at] of startedAt) {
        if (other < level) latest = Math.max(latest, at);
      }
      return latest;
    },
    lesserCancellable: (level) => {
      for (const [runId, work] of runningWork) {
        const free = work.cancellable && !cancelling.has(runId);
        if (free && work.level < level) return true;
      }
      return false;
    },
  };
}
