/** The ingress: drives calls through the dispatcher's decisions. */

import { randomBytes } from "node:crypto";
import type { Kind } from "@coltsfootdeal/bundle";
import { type Clock, sleep } from "@coltsfootdeal/kernel";
import {
  type AttemptEnd,
  type Call,
  CALL_OVERTIME_MS,
  createDispatcher,
  createRetryBudget,
  type Death,
  depthOf,
  type Ledger,
  LEVELS_PER_RANK,
  type Moment,
  type Outcome,
  refused,
  resolveChildLevel,
  type RetryBudget,
  type Router,
  type Step,
  type Suspects,
  type Upstream,
  type UpstreamReport,
} from "@coltsfootdeal/policy";
import { type Answer, bareAnswer } from "../answer.ts";
import type { Chains } from "../chains.ts";
import { LATE_ANSWER_MS } from "../constants.ts";
import type { Fields } from "../log.ts";
import { digestOf, type Payload } from "../payload.ts";
import { createParents, type Parents } from "./parents.ts";
import type { CallerRequest } from "./request.ts";

/** A call on its way to a gate. */
export interface Forward {
  readonly id: string;
  readonly upstream: Upstream;
  readonly request: CallerRequest;
  readonly level: number;
  readonly weight: number;
  readonly deadlineAt: number;
  readonly share: number;
  readonly alone: boolean;
  readonly payload: Payload;
  readonly signal: AbortSignal;
}

/** What came of a forward. */
export interface ForwardEnd {
  readonly end: AttemptEnd;
  readonly answer: Answer | undefined;
  readonly report: UpstreamReport | undefined;
  readonly death: Death | undefined;
}

/** Resolved configuration of an ingress. */
export interface IngressConfig {
  readonly clock: Clock;
  readonly router: Router;
  readonly retryLedger: Ledger;
  readonly runRegistry: Chains;
  readonly suspects: Suspects;
  readonly serviceBudget: RetryBudget;
  /** Whether backend servers tell which run makes a call further down. */
  readonly nestedCallsCarryParentId: boolean;
  /** Level of a kind's calls, as part of a request of the given worth. */
  readonly levelOf: (kind: Kind, weight: number) => number;
  /** Learns for how long a run held its slot. */
  readonly onSlotTime: (kind: Kind, slotMs: number) => void;
  readonly sendAttempt: (forward: Forward) => Promise<ForwardEnd>;
  readonly onDeath: (death: Death) => void;
  /** Told of attempts that brought no answer. */
  readonly logEvent: (event: string, fields: Fields) => void;
}

/** A whole request of a caller. */
export interface WholeRequest {
  readonly request: CallerRequest;
  readonly payload: Payload;
  /** Aborted when the caller has gone. */
  readonly signal: AbortSignal;
}

/** Takes calls and answers each with the whole answer to it, or an outcome. */
export interface Ingress {
  readonly handle: (whole: WholeRequest) => Promise<Answer>;
  readonly inFlight: () => number;
}

interface Origin {
  readonly level: number;
  readonly weight: number;
  readonly deadlineAt: number;
  readonly allowance: number;
  readonly parent: string | undefined;
  /** Run that probably makes the call, where calls do not tell. */
  readonly inferred?: string;
}

/** What is known of an attempt that was still waited for. */
const NOT_SENT = { reason: "deadline", retryAfterMs: 0 } as const;

interface Inherited {
  readonly level: number;
  readonly weight: number;
  readonly runId: string | undefined;
}

/** Whether an outcome shows overload further down. */
function isStarving(outcome: Outcome): boolean {
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

/** Whether a run that waits for the call will fail with it. */
function isLost(outcome: Outcome): boolean {
  return isStarving(outcome) ||
    outcome.kind === "unknown" && outcome.reason === "deadline";
}

/** Creates an ingress. */
export function createIngress(config: IngressConfig): Ingress {
  const { clock, retryLedger: ledger, runRegistry: chains } = config;
  const dispatcher = createDispatcher({
    router: config.router,
    ledger,
    callerBudget: createRetryBudget(),
    serviceBudget: config.serviceBudget,
    suspects: config.suspects,
    chained: config.nestedCallsCarryParentId,
  });
  const idPrefix = `${randomBytes(6).toString("hex")}-`;
  const parents = config.nestedCallsCarryParentId
    ? undefined
    : createParents(chains);
  let created = 0;
  let calls = 0;

  function moment(): Moment {
    return { now: clock.now(), random: Math.random };
  }

  /** What a call inherits from the run that probably makes it. */
  function inferParent(
    parents: Parents,
    request: CallerRequest,
  ): Inherited | undefined {
    const statedMs = request.requestedDeadlineMs ?? request.deadlineMs;
    const origination = parents.infer({
      kind: `${request.service}/${request.kind.name}`,
      statedMs: Math.round(statedMs),
      deadlineAt: clock.now() + statedMs,
    });
    if (origination.kind === "caller") return undefined;
    const { runId } = origination;
    const run = runId === undefined ? undefined : chains.find(runId);
    if (runId !== undefined && run !== undefined) {
      chains.nest(runId);
      return { level: run.level, weight: run.weight, runId };
    }
    const { weight } = request.kind;
    const level = config.levelOf(request.kind, weight);
    return { level, weight, runId: undefined };
  }

  /** Level, deadline and allowance, as the run that makes the call has them. */
  function originOf(request: CallerRequest): Origin | undefined {
    const deadlineAt = clock.now() + request.deadlineMs;
    const { parentRunId: parent } = request;
    const inferred = parents && inferParent(parents, request);
    if (inferred !== undefined) {
      const { level, runId } = inferred;
      const depth = Math.min(depthOf(level) + 1, LEVELS_PER_RANK - 1);
      return {
        level: level - depthOf(level) + depth,
        weight: inferred.weight,
        deadlineAt,
        allowance: request.kind.retryAllowance,
        parent: undefined,
        ...(runId === undefined ? {} : { inferred: runId }),
      };
    }
    if (parent === undefined) {
      const allowance = request.kind.retryAllowance;
      const { weight } = request.kind;
      const level = config.levelOf(request.kind, weight);
      return { level, weight, deadlineAt, allowance, parent };
    }
    const run = chains.find(parent);
    if (run === undefined) return undefined;
    const { weight } = run;
    const own = config.levelOf(request.kind, weight);
    return {
      level: resolveChildLevel(run.level, own),
      weight,
      deadlineAt: Math.min(deadlineAt, run.deadlineAt),
      allowance: ledger.split(parent),
      parent,
    };
  }

  async function drive(
    call: Call,
    whole: WholeRequest,
    options: { readonly signal: AbortSignal; readonly weight: number },
  ): Promise<{ readonly answer: Answer; readonly unspent: number }> {
    const { signal } = options;
    let last: Answer | undefined;
    let step: Step = dispatcher.begin(call, moment());
    for (;;) {
      switch (step.kind) {
        case "finish": {
          const { outcome, unspent } = step;
          const same = outcome.kind === last?.outcome.kind;
          const answer = last && same
            ? { ...last, outcome }
            : bareAnswer(outcome);
          return { answer, unspent };
        }
        case "wait":
          await sleep(clock, step.delayMs, signal);
          if (signal.aborted) {
            return abandon(call, { kind: "refused", ...NOT_SENT });
          }
          step = dispatcher.resume(call.id, moment());
          break;
        case "attempt": {
          const end = await config.sendAttempt({
            id: step.attemptId,
            upstream: step.upstream,
            request: whole.request,
            level: call.level,
            weight: options.weight,
            deadlineAt: call.deadlineAt,
            share: step.share,
            alone: step.alone,
            payload: whole.payload,
            signal,
          });
          logAttempt(step, whole.request, end.end);
          if (end.death) config.onDeath(end.death);
          const slotMs = end.report?.slotMs ?? 0;
          if (slotMs > 0) config.onSlotTime(whole.request.kind, slotMs);
          last = end.answer;
          if (signal.aborted) return abandon(call, end.end);
          const report = end.report === undefined ? {} : { report: end.report };
          const settled = { ...moment(), ...report };
          step = dispatcher.settle(call.id, end.end, settled);
        }
      }
    }
  }

  function logAttempt(
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

  function abandon(call: Call, end: AttemptEnd) {
    const outcome = dispatcher.abandon(call.id, { now: clock.now(), end });
    return { answer: bareAnswer(outcome), unspent: 0 };
  }

  function createCall(whole: WholeRequest, origin: Origin): Call {
    const { request } = whole;
    const { objectiveMs } = request.kind;
    let digest: string | undefined;
    return {
      id: `${idPrefix}${++created}`,
      service: request.service,
      kind: request.kind.name,
      ...(objectiveMs === undefined ? {} : { objectiveMs }),
      level: origin.level,
      idempotent: request.kind.idempotent,
      caller: `${request.account}/${request.caller}`,
      deadlineAt: origin.deadlineAt,
      // Only asked while there are suspects.
      get digest() {
        digest ??= digestOf(request.service, whole.payload);
        return digest;
      },
      resend: request.resend,
      allowance: origin.allowance,
    };
  }

  async function handle(whole: WholeRequest): Promise<Answer> {
    const origin = originOf(whole.request);
    if (origin === undefined) return bareAnswer(refused("cancelled"));
    const abort = new AbortController();
    const cancel = () => abort.abort();
    // A run with a ticket is waited for beyond its deadline, so that a resend
    // gets its answer.
    const grace = whole.request.ticket === undefined
      ? CALL_OVERTIME_MS
      : LATE_ANSWER_MS;
    const timeMs = origin.deadlineAt - clock.now() + grace;
    const timer = clock.after(Math.max(0, timeMs), cancel);
    whole.signal.addEventListener("abort", cancel, { once: true });
    const detach = origin.parent === undefined
      ? () => {}
      : chains.attach(origin.parent, cancel);
    calls++;
    try {
      const call = createCall(whole, origin);
      const { signal } = abort;
      const { weight } = origin;
      const { answer, unspent } = await drive(call, whole, { signal, weight });
      if (origin.parent !== undefined) {
        ledger.credit(origin.parent, unspent);
        if (isStarving(answer.outcome)) chains.starve(origin.parent);
      }
      if (origin.inferred !== undefined && isLost(answer.outcome)) {
        chains.starve(origin.inferred);
      }
      return answer;
    } finally {
      calls--;
      detach();
      timer.close();
      whole.signal.removeEventListener("abort", cancel);
    }
  }

  return { handle, inFlight: () => calls };
}
