/** The gate: a task that owns admission to the own backend server. */

import type { Catalog, Service } from "@coltsfootdeal/bundle";
import {
  type Clock,
  createSerialTask,
  type Timer,
} from "@coltsfootdeal/kernel";
import {
  type Admission,
  createAdmission,
  type Death,
  type GateAction,
  type GateLoad,
  type Outcome,
  refused,
  type RetryLedger,
  unknown,
  type Work,
} from "@coltsfootdeal/policy";
import { type Answer, bareAnswer } from "../answer.ts";
import type { Chains } from "../chains.ts";
import {
  DEATH_WINDOW_MS,
  GATE_RUNS_TICK_MS,
  GATE_TICK_MS,
  LISTED_LIMIT_FLOOR,
  OUT_OF_TIME_MS,
} from "../constants.ts";
import type { Fields } from "../log.ts";
import { digestOf, type Payload } from "../payload.ts";
import type { BackendServer, RunEnd } from "./backend_server.ts";
import { createGateLog } from "./gate_log.ts";
import { createLosses } from "./losses.ts";

/** A call that another node, or the own ingress, brings to this gate. */
export interface GateCall {
  /** Id of the attempt; unique. */
  readonly id: string;
  /** The caller's own id of the request, for logs. */
  readonly requestId: string;
  readonly kind: string;
  readonly level: number;
  /** Worth of the request that the call is part of. */
  readonly weight: number;
  readonly account: string;
  readonly caller: string;
  readonly deadlineAt: number;
  /** Retries for the calls further down. */
  readonly allowance: number;
  readonly alone: boolean;
  readonly payload: Payload;
}

/** What the gate replies. */
export interface GateReply {
  readonly answer: Answer;
  /** Retries that were not spent further down. */
  readonly unspent: number;
  /** Time for which the call held its slot, in ms; 0 if it was not run. */
  readonly slotMs: number;
  /** Average time for which runs of this kind hold a slot; 0 if unknown. */
  readonly usualMs: number;
  /** Whether runs of this kind make calls further down. */
  readonly nested: boolean;
  /** The death of the backend server during this run. */
  readonly death?: Death;
}

/** The reply to a call that the gate did not take. */
export function createBareReply(outcome: Outcome): GateReply {
  const answer = bareAnswer(outcome);
  return { answer, unspent: 0, slotMs: 0, usualMs: 0, nested: false };
}

/** Resolved configuration of a gate. */
export interface GateConfig {
  readonly instance: string;
  readonly incarnation: string;
  readonly service: string;
  readonly clock: Clock;
  readonly backend: BackendServer;
  /** Whether work is taken only while the backend server is listed. */
  readonly listed: boolean;
  readonly ledger: RetryLedger;
  readonly chains: Chains;
  /** Told of decisions that leave a call without an answer. */
  readonly onDecision: (event: string, fields: Fields) => void;
  /** Told of each death of the backend server. */
  readonly onDeath: (death: Death) => void;
  /** Told when a call that ran alone did no harm. */
  readonly onHarmless: (digest: string) => void;
}

/** The gate of one backend server. */
export interface Gate {
  /** Runs a call, or refuses it. */
  readonly submit: (call: GateCall, signal: AbortSignal) => Promise<GateReply>;
  /** Applies the bundle in force. */
  readonly configure: (catalog: Catalog) => void;
  /** Applies what the instance list says of the backend server. */
  readonly setBackend: (backend: BackendState) => void;
  readonly load: () => GateLoad;
  readonly leave: () => void;
  readonly idle: () => boolean;
  readonly close: () => void;
}

/** The backend server, as the instance list has it. */
export interface BackendState {
  readonly id: string;
  readonly state: "live" | "leaving" | "gone";
  readonly slots: number | undefined;
}

type Message =
  | { readonly kind: "offer"; readonly job: Job }
  | { readonly kind: "ended"; readonly job: Job; readonly end: RunEnd }
  | { readonly kind: "abandoned"; readonly job: Job }
  | { readonly kind: "configure"; readonly catalog: Catalog }
  | { readonly kind: "backend"; readonly backend: BackendState }
  | { readonly kind: "tick" }
  | { readonly kind: "leave" };

interface Job {
  readonly call: GateCall;
  readonly work: Work;
  readonly reply: (reply: GateReply) => void;
  readonly abort: AbortController;
  started: boolean;
  /** Whether its caller has gone. */
  abandoned: boolean;
  startedAt: number;
}

function floorsOf(
  catalog: Catalog,
  service: string,
): ReadonlyMap<string, number> {
  const floored = catalog.kindsOf(service).filter((kind) => kind.floor > 0);
  return new Map(floored.map((kind) => [kind.name, kind.floor]));
}

/** Creates a gate; it refuses all work until it is configured. */
export function createGate(config: GateConfig): Gate {
  const { clock, ledger, chains } = config;
  const jobs = new Map<string, Job>();
  let admission: Admission | undefined;
  let contract: Service | undefined;
  let catalog: Catalog | undefined;
  let backend: BackendState | undefined;
  let leaving = false;
  let deaths = 0;
  let lastDeath: Death | undefined;

  const losses = createLosses({
    wait: () => new Promise((resolve) => clock.after(DEATH_WINDOW_MS, resolve)),
    onDeath: (runIds) => recordDeath(runIds),
  });
  const log = createGateLog(config.onDecision);
  const task = createSerialTask<Message>((message) => {
    handle(message);
    armTick(clock.now());
  });
  let tick: { readonly timer: Timer; readonly at: number } | undefined;

  /** Sees to it that the passing of time is applied while there are jobs. */
  function armTick(now: number): void {
    if (jobs.size === 0 || admission === undefined) return;
    const queued = admission.load(now).queued > 0;
    const at = now + (queued ? GATE_TICK_MS : GATE_RUNS_TICK_MS);
    if (tick !== undefined && tick.at <= at) return;
    tick?.timer.close();
    const timer = clock.after(at - now, () => {
      tick = undefined;
      task.post({ kind: "tick" });
    });
    tick = { timer, at };
  }

  function digestOfCall({ payload }: GateCall): string {
    return digestOf(config.service, payload);
  }

  function recordDeath(runIds: readonly string[]): void {
    deaths++;
    // Lost jobs are kept until it is known whether this was a death.
    const running = runIds.flatMap((runId) => {
      const call = jobs.get(runId)?.call;
      return call === undefined ? [] : [digestOfCall(call)];
    });
    lastDeath = {
      id: `${config.instance}/${config.incarnation}/${deaths}`,
      instance: config.instance,
      at: clock.now(),
      digests: [...new Set(running)],
    };
    admission?.resetLimit();
    config.onDeath(lastDeath);
  }

  function configure(next: Catalog): void {
    catalog = next;
    const service = next.service(config.service);
    if (service === undefined) return;
    contract = service;
    const floors = floorsOf(next, config.service);
    const slots = backend?.slots ?? service.slots;
    if (admission === undefined) {
      const limitFloor = config.listed ? LISTED_LIMIT_FLOOR : 0;
      const throttlePace = config.listed ? "run_time" : "fixed";
      admission = createAdmission({
        slots,
        floors,
        minLimitShare: limitFloor,
        throttleInterval: throttlePace,
      });
      if (leaving) admission.leave();
    } else {
      admission.configure({ slots, floors });
    }
  }

  function setBackend(next: BackendState): void {
    // News of an earlier backend server at the same address.
    if (next.state === "gone" && backend?.id !== next.id) return;
    const replaced = backend !== undefined && backend.id !== next.id;
    backend = next;
    if (catalog !== undefined) configure(catalog);
    if (replaced) admission?.resetLimit();
    if (next.state === "live") {
      if (!leaving) admission?.resume();
      return;
    }
    admission?.leave();
    perform(admission?.refuseQueued(clock.now()) ?? []);
  }

  /** Whether calls wait for the instance list to name the backend server. */
  function isAwaited(): boolean {
    return config.listed && (backend === undefined || backend.state === "gone");
  }

  function finish(job: Job, answer: Answer, death?: Death): void {
    jobs.delete(job.call.id);
    const unspent = job.started ? ledger.close(job.call.id) : 0;
    if (job.started) chains.close(job.call.id);
    const slotMs = job.started ? clock.now() - job.startedAt : 0;
    const died = death === undefined ? {} : { death };
    const usualMs = admission?.averageRunMs(job.call.kind) ?? 0;
    const nested = admission?.makesNestedCalls(job.call.kind) ?? false;
    job.reply({ answer, unspent, slotMs, usualMs, nested, ...died });
  }

  function start(job: Job): void {
    const { call } = job;
    const now = clock.now();
    const service = contract;
    if (service === undefined) return;
    job.started = true;
    job.startedAt = now;
    ledger.open(call.id, call.allowance);
    const { level, weight, deadlineAt } = call;
    chains.open(call.id, { level, weight, deadlineAt });
    losses.started(call.id);
    const running = config.backend.run({
      runId: call.id,
      instance: backend?.id,
      kind: call.kind,
      account: call.account,
      caller: call.caller,
      remainingMs: call.deadlineAt - now,
      payload: call.payload,
      signal: job.abort.signal,
    }, service);
    running.then((end) => task.post({ kind: "ended", job, end }));
  }

  function perform(actions: readonly GateAction[]): void {
    const now = clock.now();
    for (const action of actions) {
      const job = jobs.get(action.work.id);
      if (job === undefined) continue;
      switch (action.kind) {
        case "run":
          start(job);
          break;
        case "cancel":
          job.abort.abort();
          break;
        case "refuse": {
          log.refused(job.call, action, {
            now,
            load: admission?.load(now),
            usualMs: admission?.averageRunMs(job.call.kind) ?? 0,
            backend: backend?.id,
          });
          const outcome = refused(action.reason, action.retryAfterMs);
          finish(job, bareAnswer(outcome));
          break;
        }
      }
    }
  }

  function cancelReason(job: Job): "deadline" | "cancelled" | "displaced" {
    if (clock.now() >= job.call.deadlineAt) return "deadline";
    return job.abandoned ? "cancelled" : "displaced";
  }

  function reply(job: Job, end: RunEnd): void {
    switch (end.kind) {
      case "response": {
        if (job.call.alone) config.onHarmless(digestOfCall(job.call));
        const { status, headers, body } = end;
        const starved = chains.isStarved(job.call.id);
        const outcome: Outcome = status >= 500
          ? { kind: "failed", starved }
          : { kind: "answered" };
        return finish(job, { outcome, status, headers, body });
      }
      case "shed":
        return finish(job, bareAnswer(refused("shed")));
      case "not_sent":
        return finish(job, bareAnswer(refused("unreachable")));
      case "truncated":
        return finish(job, bareAnswer(unknown("truncated")));
      case "cancelled":
        return finish(job, bareAnswer(unknown(cancelReason(job))));
      case "lost":
        // The reply waits until it is known whether the backend server died.
        losses.lost(job.call.id).then((died) => {
          const reason = died ? "backend_died" : "connection_lost";
          const death = died ? lastDeath : undefined;
          finish(job, bareAnswer(unknown(reason)), death);
        });
        return;
    }
  }

  function handle(message: Message): void {
    const now = clock.now();
    switch (message.kind) {
      case "offer": {
        const { job } = message;
        if (admission === undefined || isAwaited()) {
          return finish(job, bareAnswer(refused("not_ready")));
        }
        return perform(admission.offer(job.work, now));
      }
      case "ended": {
        const { job, end } = message;
        if (end.kind !== "lost") losses.ended(job.call.id);
        log.ended(job.call, end, {
          now,
          startedAt: job.startedAt,
          callsLost: chains.isStarved(job.call.id),
          backend: backend?.id,
        });
        const shed = end.kind === "shed";
        const nested = chains.isNested(job.call.id);
        // Out of time while it waited for calls further down.
        const late = nested && now >= job.call.deadlineAt - OUT_OF_TIME_MS;
        const starved = late || chains.isStarved(job.call.id);
        reply(job, end);
        const finished = { shed, starved, nested };
        return perform(
          admission?.finish(job.call.id, finished, { now }) ?? [],
        );
      }
      case "abandoned": {
        const { job } = message;
        job.abandoned = true;
        perform(admission?.abandon(job.call.id, now) ?? []);
        if (!job.started) finish(job, bareAnswer(refused("cancelled")));
        return;
      }
      case "configure":
        return configure(message.catalog);
      case "backend":
        return setBackend(message.backend);
      case "tick":
        return perform(admission?.tick(now) ?? []);
      case "leave":
        leaving = true;
        return admission?.leave();
    }
  }

  function workOf(call: GateCall): Work {
    const kind = catalog?.kind(config.service, call.kind);
    const accepts = contract?.cancellation === "close";
    return {
      id: call.id,
      kind: call.kind,
      level: call.level,
      caller: `${call.account}/${call.caller}`,
      deadlineAt: call.deadlineAt,
      cancellable: accepts && kind?.idempotent === true,
      stopsAtDeadline: contract?.keepsDeadlines === true,
      exclusive: call.alone,
    };
  }

  function submit(call: GateCall, signal: AbortSignal): Promise<GateReply> {
    return new Promise((resolve) => {
      const job: Job = {
        call,
        work: workOf(call),
        reply: resolve,
        abort: new AbortController(),
        started: false,
        abandoned: false,
        startedAt: 0,
      };
      if (jobs.has(call.id)) {
        return resolve(createBareReply(unknown("connection_lost")));
      }
      jobs.set(call.id, job);
      task.post({ kind: "offer", job });
      signal.addEventListener("abort", () => {
        if (jobs.has(call.id)) task.post({ kind: "abandoned", job });
      }, { once: true });
    });
  }

  return {
    submit,
    configure: (next) => task.post({ kind: "configure", catalog: next }),
    setBackend: (next) => task.post({ kind: "backend", backend: next }),
    load: () => {
      const load = admission?.load(clock.now()) ??
        { inFlight: 0, queued: 0, limit: 1, acceptLevel: 0, leaving };
      // A backend server that is gone may be listed again; leaving is for good.
      return isAwaited() ? { ...load, leaving } : load;
    },
    leave: () => task.post({ kind: "leave" }),
    idle: () => jobs.size === 0,
    close: () => {
      tick?.timer.close();
      task.close();
    },
  };
}
