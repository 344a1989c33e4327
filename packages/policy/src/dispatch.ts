/**
 * Dispatch of one call at the ingress: decides which gate gets the next
 * attempt, when to retry, and which outcome the caller gets. Performs no I/O:
 * the node sends the attempts and reports how they ended.
 */

import { drawBackoff } from "./backoff.ts";
import { NESTED_RETRY_COST, PROTECTED_LEVEL } from "./constants.ts";
import type { RetryLedger } from "./ledger.ts";
import {
  type Outcome,
  type RefusalReason,
  refused,
  unknown,
  type UnknownReason,
} from "./outcome.ts";
import type { Random } from "./random.ts";
import type { RetryBudget } from "./retry_budget.ts";
import type { Router, RouteRequest } from "./router.ts";
import type { Suspects } from "./suspects.ts";
import type { Upstream, UpstreamReport } from "./upstream.ts";

/** A call that an ingress has accepted. */
export interface Call {
  readonly id: string;
  readonly service: string;
  readonly level: number;
  /** Whether the call may run more than once without changing its effect. */
  readonly idempotent: boolean;
  readonly kind?: string;
  /** Target latency of the call in ms; an answer within it is worth most. */
  readonly objectiveMs?: number;
  /** Key of account and caller, for the retry budget. */
  readonly caller: string;
  readonly deadlineAt: number;
  /**
   * Digest by which crashes are attributed to the call. Equal requests must have
   * the same digest at every gate and ingress, and different requests different
   * ones.
   */
  readonly digest: string;
  /** Whether the caller itself retries an earlier call. */
  readonly resend: boolean;
  /** Retry allowance: retries that this call and its nested calls may use. */
  readonly allowance: number;
}

/** How an attempt ended. `unspent` is the unused retries of its share. */
export type AttemptEnd =
  | { readonly kind: "answered"; readonly unspent: number }
  | {
    readonly kind: "failed";
    readonly unspent: number;
    /** Whether a nested call of its run was refused. */
    readonly starved: boolean;
  }
  | {
    readonly kind: "refused";
    readonly reason: RefusalReason;
    readonly retryAfterMs: number;
  }
  | { readonly kind: "unreachable" }
  | { readonly kind: "unknown"; readonly reason: UnknownReason };

/** What the node has to do next. */
export type Step =
  | {
    readonly kind: "attempt";
    readonly attemptId: string;
    readonly upstream: Upstream;
    /** Retries split off for the nested calls of this attempt. */
    readonly retryShare: number;
    /** Whether the gate must run it with no other call at the same time. */
    readonly exclusive: boolean;
  }
  | { readonly kind: "wait"; readonly delayMs: number }
  | {
    readonly kind: "finish";
    readonly outcome: Outcome;
    /** Unused retries, to be credited to the parent call. */
    readonly unspent: number;
  };

/** Time and randomness that a decision depends on. */
export interface DecisionContext {
  readonly now: number;
  readonly random: Random;
}

/** Dependencies and options of a dispatcher. */
export interface DispatcherConfig {
  readonly router: Router;
  readonly ledger: RetryLedger;
  readonly callerBudget: RetryBudget;
  readonly serviceBudget: RetryBudget;
  readonly suspects: Suspects;
  /**
   * Whether attempts get a share of the call's retries for their nested calls.
   * Requires that nested calls identify the run that makes them.
   * @default true
   */
  readonly sharesRetries?: boolean;
}

/** Dispatches the calls of one ingress. */
export interface Dispatcher {
  /** Registers a call and returns its first step. */
  readonly begin: (call: Call, context: DecisionContext) => Step;
  /** Continues a call after a `wait` step. */
  readonly resume: (callId: string, context: DecisionContext) => Step;
  /** Continues a call after an attempt has ended. */
  readonly settle: (
    callId: string,
    end: AttemptEnd,
    options: DecisionContext & { readonly report?: UpstreamReport },
  ) => Step;
  /**
   * Ends a call that the caller no longer waits for. Returns its outcome, which
   * is "refused" only if no attempt can have run; `end` is how the last attempt
   * ended, if that is known.
   */
  readonly abandon: (
    callId: string,
    options: { readonly now: number; readonly end?: AttemptEnd },
  ) => Outcome;
  /** Number of calls that have not finished. */
  readonly inFlight: () => number;
}

interface CallState {
  readonly call: Call;
  /** Gates that refused the call or could not be reached. */
  readonly triedGates: Set<string>;
  attempts: number;
  retries: number;
  /** Retries split off for the nested calls of the current attempt. */
  retryShare: number;
  upstream: Upstream | undefined;
  /** Outcome of the call if no later attempt is answered. */
  fallbackOutcome: Outcome;
}

function isProtected(call: Call): boolean {
  return call.level >= PROTECTED_LEVEL;
}

function kindKey({ service, kind }: Call): string {
  return `${service}/${kind ?? ""}`;
}

/**
 * Combines the outcomes of two attempts. Once an attempt may have run, a later
 * refusal does not turn the outcome into "refused".
 */
function combineOutcomes(before: Outcome, after: Outcome): Outcome {
  if (after.kind !== "refused") return after;
  return before.kind === "refused" ? after : before;
}

/** Creates a dispatcher with no calls in flight. */
export function createDispatcher(config: DispatcherConfig): Dispatcher {
  const { router, ledger, callerBudget, serviceBudget, suspects } = config;
  const sharesRetries = config.sharesRetries ?? true;
  /** Keys of kinds whose runs make nested calls, as reported by gates. */
  const nestingKinds = new Set<string>();
  const calls = new Map<string, CallState>();

  function finish(state: CallState, outcome: Outcome): Step {
    const { id } = state.call;
    calls.delete(id);
    return { kind: "finish", outcome, unspent: ledger.close(id) };
  }

  function finishUnanswered(state: CallState, last: Outcome): Step {
    return finish(state, combineOutcomes(state.fallbackOutcome, last));
  }

  function pick(
    state: CallState,
    context: DecisionContext,
  ): Upstream | undefined {
    const { service, level, kind, objectiveMs } = state.call;
    const request: RouteRequest = {
      service,
      level,
      exclude: state.triedGates,
      ...(kind === undefined ? {} : { kind }),
      ...(objectiveMs === undefined ? {} : { objectiveMs }),
    };
    const upstream = router.pick(request, context);
    if (upstream !== undefined || !isProtected(state.call)) return upstream;
    // An ejected gate may have recovered, and may have less important work to
    // displace.
    return router.pick({ ...request, allowEjected: true }, context);
  }

  function attempt(state: CallState, context: DecisionContext): Step {
    const { call } = state;
    if (context.now >= call.deadlineAt) {
      return finishUnanswered(state, refused("deadline"));
    }
    const suspicion = suspects.isEmpty()
      ? "clear"
      : suspects.suspicion(call.digest, context.now);
    if (suspicion === "quarantined") {
      return finishUnanswered(state, refused("quarantined"));
    }
    const upstream = pick(state, context);
    if (upstream === undefined) {
      const hasRefusal = state.fallbackOutcome.kind === "refused" &&
        state.attempts > 0;
      const last = hasRefusal ? state.fallbackOutcome : refused("no_upstream");
      return finishUnanswered(state, last);
    }
    state.attempts++;
    state.upstream = upstream;
    state.retryShare = sharesRetries ? ledger.split(call.id) : 0;
    router.begin(upstream.id);
    return {
      kind: "attempt",
      attemptId: `${call.id}.${state.attempts}`,
      upstream,
      retryShare: state.retryShare,
      exclusive: suspicion === "isolate",
    };
  }

  /** Schedules a retry if allowance, budget and deadline permit it. */
  function retry(
    state: CallState,
    last: Outcome,
    context: DecisionContext,
  ): Step {
    const { call } = state;
    state.fallbackOutcome = combineOutcomes(state.fallbackOutcome, last);
    const retryAfterMs = last.kind === "refused" ? last.retryAfterMs : 0;
    const delayMs = retryAfterMs +
      drawBackoff(state.retries + 1, context.random);
    if (context.now + delayMs >= call.deadlineAt) {
      return finish(state, state.fallbackOutcome);
    }
    if (ledger.left(call.id) < 1) {
      return finish(state, state.fallbackOutcome);
    }
    const cost = nestingKinds.has(kindKey(call)) ? NESTED_RETRY_COST : 1;
    if (!serviceBudget.withdraw(call.service, cost)) {
      return finish(state, state.fallbackOutcome);
    }
    ledger.spend(call.id);
    state.retries++;
    // The attempt has ended; none is in flight during the wait.
    state.upstream = undefined;
    return { kind: "wait", delayMs };
  }

  function afterRefusal(
    state: CallState,
    last: Outcome,
    context: DecisionContext,
  ): Step {
    const { call, upstream } = state;
    ledger.credit(call.id, state.retryShare);
    if (upstream !== undefined) state.triedGates.add(upstream.id);
    // Protected work spends no retry after a refusal, since it did not run:
    // each gate is tried once, because it may have less important work to
    // displace.
    if (isProtected(call)) {
      state.fallbackOutcome = combineOutcomes(
        state.fallbackOutcome,
        last,
      );
      return attempt(state, context);
    }
    return retry(state, last, context);
  }

  function afterEnd(
    state: CallState,
    end: AttemptEnd,
    context: DecisionContext,
  ): Step {
    const { call } = state;
    switch (end.kind) {
      case "answered":
        ledger.credit(call.id, end.unspent);
        return finish(state, { kind: "answered" });
      case "failed": {
        ledger.credit(call.id, end.unspent);
        const failed: Outcome = { kind: "failed", starved: end.starved };
        if (!call.idempotent) return finish(state, failed);
        return retry(state, failed, context);
      }
      case "refused":
        return afterRefusal(
          state,
          refused(end.reason, end.retryAfterMs),
          context,
        );
      case "unreachable":
        return afterUnreachable(state, context);
      case "unknown":
        if (!call.idempotent) return finish(state, unknown(end.reason));
        return retry(state, unknown(end.reason), context);
    }
  }

  function afterUnreachable(
    state: CallState,
    context: DecisionContext,
  ): Step {
    const { call, upstream } = state;
    ledger.credit(call.id, state.retryShare);
    if (upstream !== undefined) state.triedGates.add(upstream.id);
    state.fallbackOutcome = combineOutcomes(
      state.fallbackOutcome,
      refused("unreachable"),
    );
    return attempt(state, context);
  }

  function recordAttempt(
    state: CallState,
    end: AttemptEnd,
    options: { readonly now: number; readonly report?: UpstreamReport },
  ): void {
    const id = state.upstream?.id;
    if (id === undefined) return;
    const { kind } = state.call;
    if (options.report) {
      const { now } = options;
      const reported = kind === undefined ? { now } : { now, kind };
      router.report(id, options.report, reported);
      if (options.report.nested === true) nestingKinds.add(kindKey(state.call));
    }
    switch (end.kind) {
      case "answered":
        return router.end(id, "success", options);
      case "refused": {
        // A gate whose backend server is down has little load and would attract
        // calls. Its refusals count as failures, so that it is ejected.
        const backendDown = end.reason === "unreachable";
        return router.end(id, backendDown ? "failure" : "refused", options);
      }
      case "failed":
      case "unreachable":
      case "unknown":
        return router.end(id, "failure", options);
    }
  }

  return {
    begin: (call, context) => {
      const state: CallState = {
        call,
        triedGates: new Set(),
        attempts: 0,
        retries: 0,
        retryShare: 0,
        upstream: undefined,
        fallbackOutcome: refused("no_upstream"),
      };
      calls.set(call.id, state);
      ledger.open(call.id, call.allowance);
      if (!call.resend) {
        callerBudget.deposit(call.caller);
        serviceBudget.deposit(call.service);
        return attempt(state, context);
      }
      const allowed = callerBudget.withdraw(call.caller) || isProtected(call);
      if (allowed) return attempt(state, context);
      return finish(state, refused("retry_budget"));
    },
    resume: (callId, context) => {
      const state = calls.get(callId);
      if (state === undefined) return finishUnknownCall();
      return attempt(state, context);
    },
    settle: (callId, end, options) => {
      const state = calls.get(callId);
      if (state === undefined) return finishUnknownCall();
      recordAttempt(state, end, options);
      return afterEnd(state, end, options);
    },
    abandon: (callId, { now, end }) => {
      const state = calls.get(callId);
      if (state === undefined) return unknown("cancelled");
      if (state.upstream) {
        // The end of the attempt is no longer reported, so it is counted here.
        router.end(state.upstream.id, "refused", { now });
      }
      calls.delete(callId);
      ledger.close(callId);
      const pastDeadline = now >= state.call.deadlineAt;
      const reason = pastDeadline ? "deadline" : "cancelled";
      const notRun = end?.kind === "refused" || end?.kind === "unreachable";
      const last = notRun ? refused(reason) : unknown(reason);
      return combineOutcomes(state.fallbackOutcome, last);
    },
    inFlight: () => calls.size,
  };
}

function finishUnknownCall(): Step {
  return { kind: "finish", outcome: unknown("cancelled"), unspent: 0 };
}
