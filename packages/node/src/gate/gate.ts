/**
 * Gate: controls admission to the backend server beside this node and runs the
 * admitted calls. All state is owned by one task that handles messages in
 * sequence.
 */

import type { Catalog, Service } from "@coltsfootdeal/bundle";
import {
  type Clock,
  createSerialTask,
  type Timer,
} from "@coltsfootdeal/kernel";
import {
  type Admission,
  type BackendIncarnation,
  type BackendNotice,
  type BackendReport,
  createAdmission,
  type Death,
  type GateAction,
  type GateLoad,
  isSameIncarnation,
  type Outcome,
  refused,
  type RetryLedger,
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
import { createBackendNotices } from "./backend_notices.ts";
import type { BackendServer, RunResult } from "./backend_server.ts";
import { createGateLog } from "./gate_log.ts";
import { createDeathDetector } from "./losses.ts";

/** A call to the backend server, from this node's ingress or another node's. */
export interface GateCall {
  /** Unique id of the attempt; also the id of its run. */
  readonly id: string;
  /** Request id that the caller chose, for logs. */
  readonly requestId: string;
  /** Kind of call, as named in the bundle. */
  readonly kind: string;
  /** Priority level; higher is more important. */
  readonly level: number;
  /**
   * Weight of the root request: the worth of its answer relative to other
   * kinds. Nested calls inherit it.
   */
  readonly weight: number;
  readonly account: string;
  readonly caller: string;
  /** Deadline on the clock of this node. */
  readonly deadlineAt: number;
  /** Number of retries that nested calls may use in total. */
  readonly retryAllowance: number;
  /** Whether the run is exclusive: no other call runs at the same time. */
  readonly exclusive: boolean;
  /** What the sender remembers of the backend server, if it stated something. */
  readonly remembered: BackendReport | undefined;
  readonly payload: Payload;
}

/** The gate's reply to a call. */
export interface GateReply {
  readonly answer: Answer;
  /** Part of the retry allowance that nested calls did not use. */
  readonly unusedRetries: number;
  /** Time that the call held its slot, in ms; 0 if it was not run. */
  readonly slotMs: number;
  /** Mean slot time of runs of this kind, in ms; 0 if unknown. */
  readonly usualMs: number;
  /** Whether runs of this kind make nested calls. */
  readonly makesNestedCalls: boolean;
  /** Set if the backend server died during this run. */
  readonly death?: Death;
}

/** Creates the reply to a call that the gate did not run. */
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
  /**
   * Whether calls are refused while no backend server is listed. Also sets the
   * floor of the concurrency limit and the interval of the throttle.
   */
  readonly requiresListedBackend: boolean;
  readonly retryLedger: RetryLedger;
  readonly runRegistry: RunRegistry;
  /**
   * Receives a log event for each call that the admission policy refuses and
   * each failed run.
   */
  readonly onDecision: (event: string, fields: LogFields) => void;
  /** Called when an answer of the backend server changes what it states. */
  readonly onNotice: (report: BackendReport) => void;
  /** Called for each death of the backend server. */
  readonly onDeath: (death: Death) => void;
  /** Called when an exclusive run ended with a response of any status. */
  readonly onExclusiveRunSurvived: (digest: string) => void;
}

/** Admission control and execution for one backend server. */
export interface Gate {
  /** Queues a call; resolves when it has been run or refused. */
  readonly submit: (call: GateCall, signal: AbortSignal) => Promise<GateReply>;
  /** Applies the slots and floors of the bundle in force. */
  readonly configure: (catalog: Catalog) => void;
  /**
   * Applies the backend server's state in the instance list; `gone` once none
   * is listed beside this node.
   */
  readonly setBackendState: (backend: BackendState) => void;
  readonly load: () => GateLoad;
  /** Applies what another node remembers of the backend server. */
  readonly recall: (remembered: BackendReport) => void;
  /** What the backend server states; undefined while nothing is known. */
  readonly report: () => BackendReport | undefined;
  /** Refuses new calls from now on, permanently; queued calls still run. */
  readonly leave: () => void;
  /** Whether no call is queued or running. */
  readonly isIdle: () => boolean;
  readonly close: () => void;
}

/** The backend server's state in the instance list. */
export interface BackendState extends BackendIncarnation {
  readonly state: "live" | "leaving" | "gone";
  /** Concurrent calls it can run; undefined to use the bundle's number. */
  readonly slots: number | undefined;
}

/** Messages that the gate's task handles. */
type GateMessage =
  | { readonly kind: "offer"; readonly job: Job }
  | { readonly kind: "ended"; readonly job: Job; readonly result: RunResult }
  | { readonly kind: "abandoned"; readonly job: Job }
  | { readonly kind: "configure"; readonly catalog: Catalog }
  | { readonly kind: "backend"; readonly backend: BackendState }
  | {
    readonly kind: "notice";
    /** The backend server that the run was sent to. */
    readonly backend: BackendIncarnation;
    readonly notice: BackendNotice;
  }
  | { readonly kind: "recall"; readonly remembered: BackendReport }
  | { readonly kind: "tick" }
  | { readonly kind: "leave" };

/** A submitted call until its reply. */
interface Job {
  readonly call: GateCall;
  readonly work: Work;
  readonly reply: (reply: GateReply) => void;
  readonly abort: AbortController;
  /** Whether the call was sent to the backend server. */
  started: boolean;
  /** Whether the caller disconnected. */
  abandoned: boolean;
  /** Time at which the run started; 0 before. */
  startedAt: number;
}

/**
 * Collects the floors of a service's kinds: the guaranteed minimum share of the
 * concurrency limit, by kind. Kinds without a floor are left out.
 */
function collectFloors(
  catalog: Catalog,
  service: string,
): ReadonlyMap<string, number> {
  const kindsWithFloor = catalog.kindsOf(service).filter((kind) =>
    kind.floor > 0
  );
  return new Map(kindsWithFloor.map((kind) => [kind.name, kind.floor]));
}

/** Creates a gate; it refuses all calls until it is configured. */
export function createGate(config: GateConfig): Gate {
  const { clock, retryLedger, runRegistry } = config;
  const jobs = new Map<string, Job>();
  let admission: Admission | undefined;
  let service: Service | undefined;
  let catalog: Catalog | undefined;
  let backend: BackendState | undefined;
  let leaving = false;
  let deaths = 0;
  let lastDeath: Death | undefined;

  const deathDetector = createDeathDetector({
    waitForWindow: () =>
      new Promise((resolve) => clock.after(DEATH_DETECTION_WINDOW_MS, resolve)),
    onDeath: (runIds) => recordDeath(runIds),
  });
  const log = createGateLog(config.onDecision);
  const notices = createBackendNotices({
    backend: () => backend,
    record: config.onDecision,
  });
  const task = createSerialTask<GateMessage>((message) => {
    handle(message);
    scheduleTick(clock.now());
  });
  let tick: { readonly timer: Timer; readonly at: number } | undefined;

  /**
   * Schedules the next tick while there are jobs. On each tick the admission
   * policy applies deadlines. Ticks come less often while the queue is empty.
   */
  function scheduleTick(now: number): void {
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
    // The job of a lost run is kept until the detector has decided.
    const digests = runIds.flatMap((runId) => {
      const call = jobs.get(runId)?.call;
      return call === undefined ? [] : [digestOfCall(call)];
    });
    lastDeath = {
      id: `${config.instance}/${config.incarnation}/${deaths}`,
      instance: config.instance,
      at: clock.now(),
      digests: [...new Set(digests)],
    };
    admission?.resetLimit();
    config.onDeath(lastDeath);
  }

  function configure(next: Catalog): void {
    catalog = next;
    const nextService = next.service(config.service);
    if (nextService === undefined) return;
    service = nextService;
    const floors = collectFloors(next, config.service);
    const slots = backend?.slots ?? nextService.slots;
    if (admission === undefined) {
      const minShare = config.requiresListedBackend
        ? LISTED_SLOTS_FLOOR_SHARE
        : 0;
      const intervalMode = config.requiresListedBackend ? "run_time" : "fixed";
      admission = createAdmission({
        slots,
        floors,
        minLimitShare: minShare,
        throttleInterval: intervalMode,
      });
      // The list may have named the backend server before there was a bundle.
      if (leaving || isBackendLeaving()) admission.leave();
    } else {
      admission.configure({ slots, floors });
    }
  }

  function applyBackendState(next: BackendState): void {
    const replaced = backend !== undefined && !isSameIncarnation(backend, next);
    backend = next;
    if (catalog !== undefined) configure(catalog);
    if (replaced) {
      notices.reset();
      admission?.setRate(undefined, clock.now());
      admission?.resetLimit();
    }
    applyLeaving();
  }

  /** Whether the backend server must get no new calls. */
  function isBackendLeaving(): boolean {
    const isListedLive = backend === undefined || backend.state === "live";
    return !isListedLive || notices.current().leaving;
  }

  function applyLeaving(): void {
    if (!isBackendLeaving()) {
      if (!leaving) admission?.resume();
      return;
    }
    admission?.leave();
    performActions(admission?.refuseQueued(clock.now()) ?? []);
  }

  function applyNotice(): void {
    const now = clock.now();
    admission?.setRate(notices.current().requestsPerS, now);
    applyLeaving();
    performActions(admission?.tick(now) ?? []);
  }

  function observeNotice(
    sentTo: BackendIncarnation,
    notice: BackendNotice,
  ): void {
    if (!notices.observe(sentTo, notice)) return;
    applyNotice();
    const report = notices.report();
    if (report !== undefined) config.onNotice(report);
  }

  function recallNotice(remembered: BackendReport): void {
    if (notices.recall(remembered)) applyNotice();
  }

  /** Whether no backend server is listed although one has to be. */
  function isUnlisted(): boolean {
    return config.requiresListedBackend &&
      (backend === undefined || backend.state === "gone");
  }

  function finish(job: Job, answer: Answer, death?: Death): void {
    jobs.delete(job.call.id);
    const unusedRetries = job.started ? retryLedger.close(job.call.id) : 0;
    if (job.started) runRegistry.finish(job.call.id);
    const slotMs = job.started ? clock.now() - job.startedAt : 0;
    const deathField = death === undefined ? {} : { death };
    const usualMs = admission?.averageRunMs(job.call.kind) ?? 0;
    const makesNestedCalls = admission?.makesNestedCalls(job.call.kind) ??
      false;
    job.reply({
      answer,
      unusedRetries,
      slotMs,
      usualMs,
      makesNestedCalls,
      ...deathField,
    });
  }

  function start(job: Job): void {
    const { call } = job;
    const now = clock.now();
    const currentService = service;
    if (currentService === undefined) return;
    const sentTo = backend;
    job.started = true;
    job.startedAt = now;
    retryLedger.open(call.id, call.retryAllowance);
    const { level, weight, deadlineAt } = call;
    runRegistry.start(call.id, { level, weight, deadlineAt });
    deathDetector.runStarted(call.id);
    notices.countSent(now);
    const completion = config.backend.run({
      runId: call.id,
      instance: backend?.id,
      kind: call.kind,
      account: call.account,
      caller: call.caller,
      remainingMs: call.deadlineAt - now,
      payload: call.payload,
      signal: job.abort.signal,
      onNotice: (notice) => {
        if (sentTo === undefined || notices.isKnown(notice)) return;
        task.post({ kind: "notice", backend: sentTo, notice });
      },
    }, currentService);
    completion.then((result) => task.post({ kind: "ended", job, result }));
  }

  function performActions(actions: readonly GateAction[]): void {
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
            requestsPerS: notices.current().requestsPerS,
            backend: backend?.id,
          });
          const outcome = refused(action.reason, action.retryAfterMs);
          finish(job, createEmptyAnswer(outcome));
          break;
        }
      }
    }
  }

  /**
   * Why the run of a job was cancelled. `displaced` means that it made room for
   * more important work.
   */
  function cancelReason(job: Job): "deadline" | "cancelled" | "displaced" {
    if (clock.now() >= job.call.deadlineAt) return "deadline";
    return job.abandoned ? "cancelled" : "displaced";
  }

  function finishRun(job: Job, result: RunResult): void {
    switch (result.kind) {
      case "response": {
        if (job.call.exclusive) {
          config.onExclusiveRunSurvived(digestOfCall(job.call));
        }
        const { status, headers, body } = result;
        const starved = runRegistry.isStarved(job.call.id);
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
        // The reply waits until the detector has decided.
        deathDetector.runLost(job.call.id).then((died) => {
          const reason = died ? "backend_died" : "connection_lost";
          const death = died ? lastDeath : undefined;
          finish(job, createEmptyAnswer(unknown(reason)), death);
        });
        return;
    }
  }

  function handle(message: GateMessage): void {
    const now = clock.now();
    switch (message.kind) {
      case "offer": {
        const { job } = message;
        if (admission === undefined || isUnlisted()) {
          return finish(job, createEmptyAnswer(refused("not_ready")));
        }
        const { remembered } = job.call;
        if (remembered !== undefined) recallNotice(remembered);
        return performActions(admission.offer(job.work, now));
      }
      case "ended": {
        const { job, result } = message;
        if (result.kind !== "lost") deathDetector.runEnded(job.call.id);
        log.ended(job.call, result, {
          now,
          startedAt: job.startedAt,
          callsLost: runRegistry.isStarved(job.call.id),
          backend: backend?.id,
        });
        const shed = result.kind === "shed";
        const nested = runRegistry.hasNestedCalls(job.call.id);
        // A run that made nested calls and ended at its deadline is taken to
        // have waited for them, and counts as starved.
        const timedOut = nested &&
          now >= job.call.deadlineAt - DEADLINE_MARGIN_MS;
        const starved = timedOut || runRegistry.isStarved(job.call.id);
        finishRun(job, result);
        const finished = { shed, starved, nested };
        return performActions(
          admission?.finish(job.call.id, finished, { now }) ?? [],
        );
      }
      case "abandoned": {
        const { job } = message;
        job.abandoned = true;
        performActions(admission?.abandon(job.call.id, now) ?? []);
        if (!job.started) finish(job, createEmptyAnswer(refused("cancelled")));
        return;
      }
      case "configure":
        return configure(message.catalog);
      case "backend":
        return applyBackendState(message.backend);
      case "notice":
        return observeNotice(message.backend, message.notice);
      case "recall":
        return recallNotice(message.remembered);
      case "tick":
        return performActions(admission?.tick(now) ?? []);
      case "leave":
        leaving = true;
        return admission?.leave();
    }
  }

  /** Describes a call to the admission policy. */
  function createWork(call: GateCall): Work {
    const kind = catalog?.kind(config.service, call.kind);
    const stopsOnClose = service?.cancellation === "close";
    return {
      id: call.id,
      kind: call.kind,
      level: call.level,
      caller: `${call.account}/${call.caller}`,
      deadlineAt: call.deadlineAt,
      cancellable: stopsOnClose && kind?.idempotent === true,
      stopsAtDeadline: service?.keepsDeadlines === true,
      exclusive: call.exclusive,
    };
  }

  function submit(call: GateCall, signal: AbortSignal): Promise<GateReply> {
    if (signal.aborted) {
      return Promise.resolve(createEmptyReply(refused("cancelled")));
    }
    return new Promise((resolve) => {
      const job: Job = {
        call,
        work: createWork(call),
        reply: resolve,
        abort: new AbortController(),
        started: false,
        abandoned: false,
        startedAt: 0,
      };
      // An earlier call with the same id may run, so the outcome of this one is
      // unknown and not a refusal.
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
      // Leaving can't be taken back within an incarnation, but a removed
      // backend server may be listed again. So its removal is not reported as
      // leaving.
      return isUnlisted() ? { ...load, leaving } : load;
    },
    recall: (remembered) => task.post({ kind: "recall", remembered }),
    report: notices.report,
    leave: () => task.post({ kind: "leave" }),
    isIdle: () => jobs.size === 0,
    close: () => {
      tick?.timer.close();
      task.close();
    },
  };
}
