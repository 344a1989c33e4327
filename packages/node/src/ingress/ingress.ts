/**
 * The ingress: sends each call to upstream gates, with waits and retries as the
 * dispatcher decides.
 */

import { randomBytes } from "node:crypto";
import type { CallKind } from "@coltsfootdeal/bundle";
import { type Clock, sleep } from "@coltsfootdeal/kernel";
import {
  type AttemptEnd,
  type Call,
  CALL_DEADLINE_GRACE_MS,
  createDispatcher,
  createRetryBudget,
  type Death,
  type DecisionContext,
  depthOf,
  LEVELS_PER_RANK,
  type Outcome,
  refused,
  resolveChildLevel,
  type RetryBudget,
  type RetryLedger,
  type Router,
  type Step,
  type Suspects,
  type Upstream,
  type UpstreamReport,
} from "@coltsfootdeal/policy";
import { type Answer, createEmptyAnswer } from "../answer.ts";
import type { RunRegistry } from "../chains.ts";
import { LATE_ANSWER_WAIT_MS } from "../constants.ts";
import type { LogFields } from "../log.ts";
import { digestRequest, type Payload } from "../payload.ts";
import { createParentInference, type ParentInference } from "./parents.ts";
import type { CallerRequest } from "./request.ts";

/** One attempt of a call at the gate of an upstream. */
export interface AttemptRequest {
  readonly id: string;
  readonly upstream: Upstream;
  readonly request: CallerRequest;
  /** Priority level; the gate sheds lower levels first. */
  readonly level: number;
  /** Weight of the root request, inherited by nested calls. */
  readonly weight: number;
  readonly deadlineAt: number;
  /** Retries that the nested calls of this attempt may use in total. */
  readonly retryAllowance: number;
  /** Whether the backend server runs nothing else during the attempt. */
  readonly exclusive: boolean;
  readonly payload: Payload;
  readonly signal: AbortSignal;
}

/** The result of an attempt, with what the gate reported along with it. */
export interface AttemptResult {
  readonly end: AttemptEnd;
  readonly answer: Answer | undefined;
  readonly report: UpstreamReport | undefined;
  /** Set if the backend server died during the attempt. */
  readonly death: Death | undefined;
}

/** Resolved configuration of an ingress. */
export interface IngressConfig {
  readonly clock: Clock;
  readonly router: Router;
  readonly retryLedger: RetryLedger;
  readonly runRegistry: RunRegistry;
  readonly suspects: Suspects;
  /** Limits retries, separately for each called service. */
  readonly serviceBudget: RetryBudget;
  /**
   * Whether backend servers send the id of the parent run on nested calls. If
   * not, the parent run is inferred from the deadline.
   */
  readonly nestedCallsCarryParentId: boolean;
  /** Priority level of a kind's calls in a request of the given weight. */
  readonly levelOf: (kind: CallKind, weight: number) => number;
  /** Called with the time for which a run occupied its slot. */
  readonly onSlotTime: (kind: CallKind, slotMs: number) => void;
  readonly sendAttempt: (attempt: AttemptRequest) => Promise<AttemptResult>;
  /** Called when the backend server of an upstream died during an attempt. */
  readonly onDeath: (death: Death) => void;
  /** Logs an attempt that ended without an answer. */
  readonly logEvent: (event: string, fields: LogFields) => void;
}

/** A caller's request with its complete body. */
export interface BufferedRequest {
  readonly request: CallerRequest;
  readonly payload: Payload;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** Resolves each call to a complete answer, or to an outcome without one. */
export interface Ingress {
  readonly handle: (buffered: BufferedRequest) => Promise<Answer>;
  /** Ends all calls in flight, as a refusal or with an unknown outcome. */
  readonly abortAll: () => void;
  /** Number of calls that have not been answered yet. */
  readonly inFlight: () => number;
}

/** Priority, deadline and retries: a call's own, or from its parent run. */
interface CallContext {
  readonly level: number;
  readonly weight: number;
  readonly deadlineAt: number;
  readonly retryAllowance: number;
  readonly parentRunId: string | undefined;
  /** Probable parent run, where calls do not carry its id. */
  readonly inferredRunId?: string;
}

/** Refusal of a call that is aborted while it waits for its next attempt. */
const DEADLINE_REFUSAL = { reason: "deadline", retryAfterMs: 0 } as const;

/** What a call inherits from an inferred parent run. */
interface InferredParent {
  readonly level: number;
  readonly weight: number;
  /** Undefined if a run makes the call, but it is unclear which one. */
  readonly runId: string | undefined;
}

/**
 * Whether a nested call was refused, or failed because one of its own nested
 * calls was refused, starved or not answered in time (`starved`).
 */
function indicatesOverload(outcome: Outcome): boolean {
  switch (outcome.kind) {
    case "refused":
      return true;
    case "failed":
      return outcome.starved;
    case "answered":
    case "unknown":
      return false;
  }
}

/** Whether a failure of the inferred parent run is attributed to the call. */
function failsParentRun(outcome: Outcome): boolean {
  return indicatesOverload(outcome) ||
    outcome.kind === "unknown" && outcome.reason === "deadline";
}

/** Creates an ingress without calls in flight. */
export function createIngress(config: IngressConfig): Ingress {
  const { clock, retryLedger, runRegistry } = config;
  const dispatcher = createDispatcher({
    router: config.router,
    ledger: retryLedger,
    callerBudget: createRetryBudget(),
    serviceBudget: config.serviceBudget,
    suspects: config.suspects,
    sharesRetries: config.nestedCallsCarryParentId,
  });
  const idPrefix = `${randomBytes(6).toString("hex")}-`;
  const parentInference = config.nestedCallsCarryParentId
    ? undefined
    : createParentInference(runRegistry);
  let createdCalls = 0;
  const inFlight = new Set<AbortController>();

  function decisionContext(): DecisionContext {
    return { now: clock.now(), random: Math.random };
  }

  /** Infers the parent run of a call; undefined for a caller's request. */
  function inferParent(
    inference: ParentInference,
    request: CallerRequest,
  ): InferredParent | undefined {
    const requestedMs = request.requestedDeadlineMs ?? request.deadlineMs;
    const inferred = inference.infer({
      kind: `${request.service}/${request.kind.name}`,
      requestedDeadlineMs: Math.round(requestedMs),
      deadlineAt: clock.now() + requestedMs,
    });
    if (inferred.kind === "caller") return undefined;
    const { runId } = inferred;
    const run = runId === undefined ? undefined : runRegistry.find(runId);
    if (runId !== undefined && run !== undefined) {
      runRegistry.recordNestedCall(runId);
      return { level: run.level, weight: run.weight, runId };
    }
    const { weight } = request.kind;
    const level = config.levelOf(request.kind, weight);
    return { level, weight, runId: undefined };
  }

  /**
   * Resolves the priority, deadline and retries of a call; undefined if its
   * parent run has ended.
   */
  function resolveContext(request: CallerRequest): CallContext | undefined {
    const deadlineAt = clock.now() + request.deadlineMs;
    const { parentRunId } = request;
    const inferred = parentInference && inferParent(parentInference, request);
    if (inferred !== undefined) {
      const { level, runId } = inferred;
      // One level of nesting deeper than the parent run, at the same rank.
      const depth = Math.min(depthOf(level) + 1, LEVELS_PER_RANK - 1);
      return {
        level: level - depthOf(level) + depth,
        weight: inferred.weight,
        deadlineAt,
        retryAllowance: request.kind.retryAllowance,
        parentRunId: undefined,
        ...(runId === undefined ? {} : { inferredRunId: runId }),
      };
    }
    if (parentRunId === undefined) {
      const { retryAllowance } = request.kind;
      const { weight } = request.kind;
      const level = config.levelOf(request.kind, weight);
      return {
        level,
        weight,
        deadlineAt,
        retryAllowance,
        parentRunId,
      };
    }
    const run = runRegistry.find(parentRunId);
    if (run === undefined) return undefined;
    const { weight } = run;
    const ownLevel = config.levelOf(request.kind, weight);
    return {
      level: resolveChildLevel(run.level, ownLevel),
      weight,
      deadlineAt: Math.min(deadlineAt, run.deadlineAt),
      retryAllowance: retryLedger.split(parentRunId),
      parentRunId,
    };
  }

  /** Follows the dispatcher's steps until the call is finished or aborted. */
  async function runAttempts(
    call: Call,
    buffered: BufferedRequest,
    options: { readonly signal: AbortSignal; readonly weight: number },
  ): Promise<{ readonly answer: Answer; readonly unspent: number }> {
    const { signal } = options;
    let lastAnswer: Answer | undefined;
    let step: Step = dispatcher.begin(call, decisionContext());
    for (;;) {
      switch (step.kind) {
        case "finish": {
          const { outcome, unspent } = step;
          // The outcome may be that of an earlier attempt, whose answer is not
          // kept.
          const same = outcome.kind === lastAnswer?.outcome.kind;
          const answer = lastAnswer && same
            ? { ...lastAnswer, outcome }
            : createEmptyAnswer(outcome);
          return { answer, unspent };
        }
        case "wait":
          await sleep(clock, step.delayMs, signal);
          if (signal.aborted) {
            return abandon(call, { kind: "refused", ...DEADLINE_REFUSAL });
          }
          step = dispatcher.resume(call.id, decisionContext());
          break;
        case "attempt": {
          const result = await config.sendAttempt({
            id: step.attemptId,
            upstream: step.upstream,
            request: buffered.request,
            level: call.level,
            weight: options.weight,
            deadlineAt: call.deadlineAt,
            retryAllowance: step.retryShare,
            exclusive: step.exclusive,
            payload: buffered.payload,
            signal,
          });
          logFailedAttempt(step, buffered.request, result.end);
          if (result.death) config.onDeath(result.death);
          const slotMs = result.report?.slotMs ?? 0;
          if (slotMs > 0) config.onSlotTime(buffered.request.kind, slotMs);
          lastAnswer = result.answer;
          if (signal.aborted) return abandon(call, result.end);
          const report = result.report === undefined
            ? {}
            : { report: result.report };
          const settleContext = { ...decisionContext(), ...report };
          step = dispatcher.settle(call.id, result.end, settleContext);
        }
      }
    }
  }

  function logFailedAttempt(
    { attemptId, upstream }: Extract<Step, { readonly kind: "attempt" }>,
    request: CallerRequest,
    end: AttemptEnd,
  ): void {
    if (end.kind === "answered") return;
    config.logEvent("ingress.attempt_failed", {
      requestId: request.requestId,
      call: attemptId,
      service: request.service,
      kind: request.kind.name,
      upstream: upstream.id,
      gate: upstream.address,
      end: end.kind,
      reason: "reason" in end ? end.reason : undefined,
    });
  }

  /** Ends an aborted call; `end` is how its last attempt ended. */
  function abandon(call: Call, end: AttemptEnd) {
    const outcome = dispatcher.abandon(call.id, { now: clock.now(), end });
    return { answer: createEmptyAnswer(outcome), unspent: 0 };
  }

  function createCall(buffered: BufferedRequest, context: CallContext): Call {
    const { request } = buffered;
    const { objectiveMs } = request.kind;
    let digest: string | undefined;
    return {
      id: `${idPrefix}${++createdCalls}`,
      service: request.service,
      kind: request.kind.name,
      ...(objectiveMs === undefined ? {} : { objectiveMs }),
      level: context.level,
      idempotent: request.kind.idempotent,
      caller: `${request.account}/${request.caller}`,
      deadlineAt: context.deadlineAt,
      // Computed on demand: the dispatcher reads it only while some digests are
      // suspected of crashing backend servers.
      get digest() {
        digest ??= digestRequest(request.service, buffered.payload);
        return digest;
      },
      resend: request.resend,
      allowance: context.retryAllowance,
    };
  }

  async function handle(buffered: BufferedRequest): Promise<Answer> {
    const context = resolveContext(buffered.request);
    if (context === undefined) return createEmptyAnswer(refused("cancelled"));
    const abort = new AbortController();
    const cancel = () => abort.abort();
    // The answer to a call with a ticket is awaited beyond its deadline, so
    // that a resend can still receive it.
    const graceMs = buffered.request.ticket === undefined
      ? CALL_DEADLINE_GRACE_MS
      : LATE_ANSWER_WAIT_MS;
    const timeMs = context.deadlineAt - clock.now() + graceMs;
    const timer = clock.after(Math.max(0, timeMs), cancel);
    buffered.signal.addEventListener("abort", cancel, { once: true });
    const detach = context.parentRunId === undefined
      ? () => {}
      : runRegistry.addNestedCall(context.parentRunId, cancel);
    inFlight.add(abort);
    try {
      const call = createCall(buffered, context);
      const { signal } = abort;
      const { weight } = context;
      const { answer, unspent } = await runAttempts(call, buffered, {
        signal,
        weight,
      });
      if (context.parentRunId !== undefined) {
        retryLedger.credit(context.parentRunId, unspent);
        if (indicatesOverload(answer.outcome)) {
          runRegistry.recordStarvation(context.parentRunId);
        }
      }
      if (
        context.inferredRunId !== undefined && failsParentRun(answer.outcome)
      ) {
        runRegistry.recordStarvation(context.inferredRunId);
      }
      return answer;
    } finally {
      inFlight.delete(abort);
      detach();
      timer.close();
      buffered.signal.removeEventListener("abort", cancel);
    }
  }

  return {
    handle,
    abortAll: () => {
      for (const abort of inFlight) abort.abort();
    },
    inFlight: () => inFlight.size,
  };
}
