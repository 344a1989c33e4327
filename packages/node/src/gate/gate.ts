/** The gate: a task that owns admission to the own backend server. */

import type { Catalog, Service } from "@coltsfootdeal/bundle";
import { type Clock, createTask, type Timer } from "@coltsfootdeal/kernel";
import {
  type Admission,
  createAdmission,
  type Death,
  type GateAction,
  type GateLoad,
  type Ledger,
  type Outcome,
  refused,
  unknown,
  type Work,
} from "@coltsfootdeal/policy";
import { type Answer, createEmptyAnswer } from "../answer.ts";
import type { RunRegistry } from "../chains.ts";
import {
  DEADLINE_MARGIN_MS,
  DEATH_DETECTION_WINDOW_MS,
  GATE_QUEUE_TICK_MS,
  GATE_RUNNING_TICK_MS,
  LISTED_SLOTS_FLOOR_SHARE,
} from "../constants.ts";
import type { LogFields } from "../log.ts";
import { digestRequest, type Payload } from "../payload.ts";
import type { BackendServer, RunResult } from "./backend_server.ts";
import { createGateLog } from "./gate_log.ts";
import { createDeathDetector } from "./losses.ts";

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
  readonly retryAllowance: number;
  readonly exclusive: boolean;
  readonly payload: Payload;
}

/** What the gate replies. */
export interface GateReply {
  readonly answer: Answer;
  /** Retries that were not spent further down. */
  readonly unusedRetries: number;
  /** Time for which the call held its slot, in ms; 0 if it was not run. */
  readonly slotMs: number;
  /** Average time for which runs of this kind hold a slot; 0 if unknown. */
  readonly usualMs: number;
  /** Whether runs of this kind make calls further down. */
  readonly makesNestedCalls: boolean;
  /** The death of the backend server during this run. */
  readonly death?: Death;
}

/** The reply to a call that the gate did not take. */
export function createEmptyReply(outcome: Outcome): GateReply {
  const answer = createEmptyAnswer(outcome);
  return {
    answer,
    unusedRetries: 0,
    slotMs: 0,
    usualMs: 0,
    makesNestedCalls: false,
  };
}

/** Resolved configuration of a gate. */
export interface GateConfig {
  readonly instance: string;
  readonly incarnation: string;
  readonly service: string;
  readonly clock: Clock;
  readonly backend: BackendServer;
  /** Whether work is taken only while the backend server is listed. */
  readonly requiresListedBackend: boolean;
  readonly retryLedger: Ledger;
  readonly runRegistry: RunRegistry;
  /** Told of decisions that leave a call without an answer. */
  readonly onDecision: (event: string, fields: LogFields) => void;
  /** Told of each death of the backend server. */
  readonly onDeath: (death: Death) => void;
  /** Told when a call that ran alone did no harm. */
  readonly onExclusiveRunSurvived: (digest: string) => void;
}

/** The gate of one backend server. */
export interface Gate {
  /** Runs a call, or refuses it. */
  readonly submit: (call: GateCall, signal: AbortSignal) => Promise<GateReply>;
  /** Applies the bundle in force. */
  readonly configure: (catalog: Catalog) => void;
  /** Applies what the instance list says of the backend server. */
  readonly setBackendState: (backend: BackendState) => void;
  readonly load: () => GateLoad;
  readonly leave: () => void;
  readonly isIdle: () => boolean;
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
  | { readonly kind: "ended"; readonly job: Job; readonly end: RunResult }
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
  const { clock, retryLedger: ledger, runRegistry: chains } = config;
  const jobs = new Map<string, Job>();
  let admission: Admission | undefined;
  let contract: Service | undefined;
  let catalog: Catalog | undefined;
  let backend: BackendState | undefined;
  let leaving = false;
  let deaths = 0;
  let lastDeath: Death | undefined;

  const losses = createDeathDetector({
    waitForWindow: () =>
      new Promise((resolve) => clock.after(DEATH_DETECTION_WINDOW_MS, resolve)),
    onDeath: (runIds) => recordDeath(runIds),
  });
  const log = createGateLog(config.onDecision);
  const task = createTask<Message>((message) => {
    handle(message);
    armTick(clock.now());
  });
  let tick: { readonly timer: Timer; readonly at: number } | undefined;

  /** Sees to it that the passing of time is applied while there are jobs. */
  function armTick(now: number): void {
    if (jobs.size === 0 || admission === undefined) return;
    const queued = admission.load(now).queued > 0;
    const at = now + (queued ? GATE_QUEUE_TICK_MS : GATE_RUNNING_TICK_MS);
    if (tick !== undefined && tick.at <= at) return;
    tick?.timer.close();
    const timer = clock.after(at - now, () => {
      tick = undefined;
      task.post({ kind: "tick" });
    });
    tick = { timer, at };
  }

  function digestOfCall({ payload }: GateCall): string {
    return digestRequest(config.service, payload);
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
    admission?.restart();
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
      const limitFloor = config.requiresListedBackend
        ? LISTED_SLOTS_FLOOR_SHARE
        : 0;
      const throttlePace = config.requiresListedBackend ? "run_time" : "fixed";
      admission = createAdmission({
        slots,
        floors,
        limitFloor,
        throttlePace,
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
    if (replaced) admission?.restart();
    if (next.state === "live") {
      if (!leaving) admission?.resume();
      return;
    }
    admission?.leave();
    perform(admission?.flush(clock.now()) ?? []);
  }

  /** Whether calls wait for the instance list to name the backend server. */
  function isAwaited(): boolean {
    return config.requiresListedBackend &&
      (backend === undefined || backend.state === "gone");
  }

  function finish(job: Job, answer: Answer, death?: Death): void {
    jobs.delete(job.call.id);
    const unspent = job.started ? ledger.close(job.call.id) : 0;
    if (job.started) chains.finish(job.call.id);
    const slotMs = job.started ? clock.now() - job.startedAt : 0;
    const died = death === undefined ? {} : { death };
    const usualMs = admission?.usualMs(job.call.kind) ?? 0;
    const nested = admission?.isNested(job.call.kind) ?? false;
    job.reply({
      answer,
      unusedRetries: unspent,
      slotMs,
      usualMs,
      makesNestedCalls: nested,
      ...died,
    });
  }

  function start(job: Job): void {
    const { call } = job;
    const now = clock.now();
    const service = contract;
    if (service === undefined) return;
    job.started = true;
    job.startedAt = now;
    ledger.open(call.id, call.retryAllowance);
    const { level, weight, deadlineAt } = call;
    chains.start(call.id, { level, weight, deadlineAt });
    losses.runStarted(call.id);
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
            usualMs: admission?.usualMs(job.call.kind) ?? 0,
            backend: backend?.id,
          });
          const outcome = refused(action.reason, action.retryAfterMs);
          finish(job, createEmptyAnswer(outcome));
          break;
        }
      }
    }
  }

  function cancelReason(job: Job): "deadline" | "cancelled" | "displaced" {
    if (clock.now() >= job.call.deadlineAt) return "deadline";
    return job.abandoned ? "cancelled" : "displaced";
  }

  function reply(job: Job, end: RunResult): void {
    switch (end.kind) {
      case "response": {
        if (job.call.exclusive) {
          config.onExclusiveRunSurvived(digestOfCall(job.call));
        }
        const { status, headers, body } = end;
        const starved = chains.isStarved(job.call.id);
        const outcome: Outcome = status >= 500
          ? { kind: "failed", starved }
          : { kind: "answered" };
        return finish(job, { outcome, status, headers, body });
      }
      case "shed":
        return finish(job, createEmptyAnswer(refused("shed")));
      case "not_sent":
        return finish(job, createEmptyAnswer(refused("unreachable")));
      case "truncated":
        return finish(job, createEmptyAnswer(unknown("truncated")));
      case "cancelled":
        return finish(job, createEmptyAnswer(unknown(cancelReason(job))));
      case "lost":
        // The reply waits until it is known whether the backend server died.
        losses.runLost(job.call.id).then((died) => {
          const reason = died ? "backend_died" : "connection_lost";
          const death = died ? lastDeath : undefined;
          finish(job, createEmptyAnswer(unknown(reason)), death);
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
          return finish(job, createEmptyAnswer(refused("not_ready")));
        }
        return perform(admission.offer(job.work, now));
      }
      case "ended": {
        const { job, end } = message;
        if (end.kind !== "lost") losses.runEnded(job.call.id);
        log.ended(job.call, end, {
          now,
          startedAt: job.startedAt,
          callsLost: chains.isStarved(job.call.id),
          backend: backend?.id,
        });
        const shed = end.kind === "shed";
        const nested = chains.hasNestedCalls(job.call.id);
        // Out of time while it waited for calls further down.
        const late = nested && now >= job.call.deadlineAt - DEADLINE_MARGIN_MS;
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
        if (!job.started) finish(job, createEmptyAnswer(refused("cancelled")));
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
      alone: call.exclusive,
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
        return resolve(createEmptyReply(unknown("connection_lost")));
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
    setBackendState: (next) => task.post({ kind: "backend", backend: next }),
    load: () => {
      const load = admission?.load(clock.now()) ??
        { inFlight: 0, queued: 0, limit: 1, acceptLevel: 0, leaving };
      // A backend server that is gone may be listed again; leaving is for good.
      return isAwaited() ? { ...load, leaving } : load;
    },
    leave: () => task.post({ kind: "leave" }),
    isIdle: () => jobs.size === 0,
    close: () => {
      tick?.timer.close();
      task.close();
    },
  };
}
