/**
 * The ingress's decisions about one call: which gate to try, when to try
 * again, and what may truthfully be said to the caller. Pure: the node sends
 * the attempts and reports how they ended.
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
  /** Whether running it twice does no harm. */
  readonly idempotent: boolean;
  readonly kind?: string;
  /** Time within which the answer is worth most, in ms. */
  readonly objectiveMs?: number;
  /** Account and caller. */
  readonly caller: string;
  readonly deadlineAt: number;
  /** Digest of kind and body. */
  readonly digest: string;
  /** Whether the caller sends it again. */
  readonly resend: boolean;
  /** Retries that the whole tree below this call may spend. */
  readonly allowance: number;
}

/** How an attempt ended. */
export type AttemptEnd =
  | { readonly kind: "answered"; readonly unspent: number }
  | {
    readonly kind: "failed";
    readonly unspent: number;
    /** Whether a call further down was refused. */
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
    /** Retries split off for the calls further down. */
    readonly retryShare: number;
    /** Whether the gate must run it with no other call beside it. */
    readonly exclusive: boolean;
  }
  | { readonly kind: "wait"; readonly delayMs: number }
  | {
    readonly kind: "finish";
    readonly outcome: Outcome;
    /** Retries left, to be credited to the parent. */
    readonly unspent: number;
  };

/** Time and randomness of a decision. */
export interface DecisionContext {
  readonly now: number;
  readonly random: Random;
}

/** What a dispatcher works with. */
export interface DispatcherConfig {
  readonly router: Router;
  readonly ledger: RetryLedger;
  readonly callerBudget: RetryBudget;
  readonly serviceBudget: RetryBudget;
  readonly suspects: Suspects;
  /**
   * Whether calls further down tell which run makes them, so that they can be
   * given a share of its retries.
   * @default true
   */
  readonly sharesRetries?: boolean;
}

/** Decides about the calls of one ingress. */
export interface Dispatcher {
  readonly begin: (call: Call, moment: DecisionContext) => Step;
  /** Goes on after a wait. */
  readonly resume: (callId: string, moment: DecisionContext) => Step;
  /** Goes on after an attempt. */
  readonly settle: (
    callId: string,
    end: AttemptEnd,
    options: DecisionContext & { readonly report?: UpstreamReport },
  ) => Step;
  /**
   * Ends a call that is not waited for any longer. Returns what may truthfully
   * be said of it, given how its attempt ended.
   */
  readonly abandon: (
    callId: string,
    options: { readonly now: number; readonly end?: AttemptEnd },
  ) => Outcome;
  readonly inFlight: () => number;
}

interface CallState {
  readonly call: Call;
  readonly triedGates: Set<string>;
  attempts: number;
  retries: number;
  share: number;
  upstream: Upstream | undefined;
  /** The strongest thing that is true if no later attempt is answered. */
  fallbackOutcome: Outcome;
}

function isProtected(call: Call): boolean {
  return call.level >= PROTECTED_LEVEL;
}

function kindKey({ service, kind }: Call): string {
  return `${service}/${kind ?? ""}`;
}

/** A call that may have run stays so, whatever later attempts say. */
function combineOutcomes(before: Outcome, after: Outcome): Outcome {
  if (after.kind !== "refused") return after;
  return before.kind === "refused" ? after : before;
}

/** Creates a dispatcher with no calls in flight. */
export function createDispatcher(config: DispatcherConfig): Dispatcher {
  const { router, ledger, callerBudget, serviceBudget, suspects } = config;
  const chained = config.sharesRetries ?? true;
  /** Kinds whose runs make calls further down, as gates report. */
  const nested = new Set<string>();
  const calls = new Map<string, CallState>();

  function finish(progress: CallState, outcome: Outcome): Step {
    const { id } = progress.call;
    calls.delete(id);
    return { kind: "finish", outcome, unspent: ledger.close(id) };
  }

  function finishUnanswered(progress: CallState, last: Outcome): Step {
    return finish(progress, combineOutcomes(progress.fallbackOutcome, last));
  }

  function pick(
    progress: CallState,
    moment: DecisionContext,
  ): Upstream | undefined {
    const { service, level, kind, objectiveMs } = progress.call;
    const demand: RouteRequest = {
      service,
      level,
      exclude: progress.triedGates,
      ...(kind === undefined ? {} : { kind }),
      ...(objectiveMs === undefined ? {} : { objectiveMs }),
    };
    const upstream = router.pick(demand, moment);
    if (upstream !== undefined || !isProtected(progress.call)) return upstream;
    // An ejected gate may have recovered and run less important work.
    return router.pick({ ...demand, allowEjected: true }, moment);
  }

  function attempt(progress: CallState, moment: DecisionContext): Step {
    const { call } = progress;
    if (moment.now >= call.deadlineAt) {
      return finishUnanswered(progress, refused("deadline"));
    }
    const suspicion = suspects.isEmpty()
      ? "clear"
      : suspects.suspicion(call.digest, moment.now);
    if (suspicion === "quarantined") {
      return finishUnanswered(progress, refused("quarantined"));
    }
    const upstream = pick(progress, moment);
    if (upstream === undefined) {
      const tried = progress.fallbackOutcome.kind === "refused" &&
        progress.attempts > 0;
      const last = tried ? progress.fallbackOutcome : refused("no_upstream");
      return finishUnanswered(progress, last);
    }
    progress.attempts++;
    progress.upstream = upstream;
    progress.share = chained ? ledger.split(call.id) : 0;
    router.begin(upstream.id);
    return {
      kind: "attempt",
      attemptId: `${call.id}.${progress.attempts}`,
      upstream,
      retryShare: progress.share,
      exclusive: suspicion === "alone",
    };
  }

  /** A retry after backoff, if allowance, budget and deadline permit. */
  function retry(
    progress: CallState,
    last: Outcome,
    moment: DecisionContext,
  ): Step {
    const { call } = progress;
    progress.fallbackOutcome = combineOutcomes(progress.fallbackOutcome, last);
    const hint = last.kind === "refused" ? last.retryAfterMs : 0;
    const delayMs = hint + drawBackoff(progress.retries + 1, moment.random);
    if (moment.now + delayMs >= call.deadlineAt) {
      return finish(progress, progress.fallbackOutcome);
    }
    if (ledger.left(call.id) < 1) {
      return finish(progress, progress.fallbackOutcome);
    }
    const cost = nested.has(kindKey(call)) ? NESTED_RETRY_COST : 1;
    if (!serviceBudget.withdraw(call.service, cost)) {
      return finish(progress, progress.fallbackOutcome);
    }
    ledger.spend(call.id);
    progress.retries++;
    return { kind: "wait", delayMs };
  }

  function afterRefusal(
    progress: CallState,
    last: Outcome,
    moment: DecisionContext,
  ): Step {
    const { call, upstream } = progress;
    ledger.credit(call.id, progress.share);
    if (upstream !== undefined) progress.triedGates.add(upstream.id);
    // A true refusal costs no retry for protected work: every gate that may
    // still run something less important is asked once.
    if (isProtected(call)) {
      progress.fallbackOutcome = combineOutcomes(
        progress.fallbackOutcome,
        last,
      );
      return attempt(progress, moment);
    }
    return retry(progress, last, moment);
  }

  function afterEnd(
    progress: CallState,
    end: AttemptEnd,
    moment: DecisionContext,
  ): Step {
    const { call } = progress;
    switch (end.kind) {
      case "answered":
        ledger.credit(call.id, end.unspent);
        return finish(progress, { kind: "answered" });
      case "failed": {
        ledger.credit(call.id, end.unspent);
        const failed: Outcome = { kind: "failed", starved: end.starved };
        if (!call.idempotent) return finish(progress, failed);
        return retry(progress, failed, moment);
      }
      case "refused":
        return afterRefusal(
          progress,
          refused(end.reason, end.retryAfterMs),
          moment,
        );
      case "unreachable":
        return afterUnreachable(progress, moment);
      case "unknown":
        if (!call.idempotent) return finish(progress, unknown(end.reason));
        return retry(progress, unknown(end.reason), moment);
    }
  }

  function afterUnreachable(
    progress: CallState,
    moment: DecisionContext,
  ): Step {
    const { call, upstream } = progress;
    ledger.credit(call.id, progress.share);
    if (upstream !== undefined) progress.triedGates.add(upstream.id);
    progress.fallbackOutcome = combineOutcomes(
      progress.fallbackOutcome,
      refused("unreachable"),
    );
    return attempt(progress, moment);
  }

  function settleRouter(
    progress: CallState,
    end: AttemptEnd,
    options: { readonly now: number; readonly report?: UpstreamReport },
  ): void {
    const id = progress.upstream?.id;
    if (id === undefined) return;
    const { kind } = progress.call;
    if (options.report) {
      const { now } = options;
      const seen = kind === undefined ? { now } : { now, kind };
      router.report(id, options.report, seen);
      if (options.report.nested === true) nested.add(kindKey(progress.call));
    }
    switch (end.kind) {
      case "answered":
        return router.end(id, "success", options);
      case "refused": {
        // A gate whose backend server is down would otherwise look idle.
        const down = end.reason === "unreachable";
        return router.end(id, down ? "failure" : "refused", options);
      }
      case "failed":
      case "unreachable":
      case "unknown":
        return router.end(id, "failure", options);
    }
  }

  return {
    begin: (call, moment) => {
      const progress: CallState = {
        call,
        triedGates: new Set(),
        attempts: 0,
        retries: 0,
        share: 0,
        upstream: undefined,
        fallbackOutcome: refused("no_upstream"),
      };
      calls.set(call.id, progress);
      ledger.open(call.id, call.allowance);
      if (!call.resend) {
        callerBudget.deposit(call.caller);
        serviceBudget.deposit(call.service);
        return attempt(progress, moment);
      }
      const allowed = callerBudget.withdraw(call.caller) || isProtected(call);
      if (allowed) return attempt(progress, moment);
      return finish(progress, refused("retry_budget"));
    },
    resume: (callId, moment) => {
      const progress = calls.get(callId);
      if (progress === undefined) return finishUnknownCall();
      return attempt(progress, moment);
    },
    settle: (callId, end, options) => {
      const progress = calls.get(callId);
      if (progress === undefined) return finishUnknownCall();
      settleRouter(progress, end, options);
      return afterEnd(progress, end, options);
    },
    abandon: (callId, { now, end }) => {
      const progress = calls.get(callId);
      if (progress === undefined) return unknown("cancelled");
      if (progress.upstream) {
        // The attempt's end is no longer reported, so it is counted here.
        router.end(progress.upstream.id, "refused", { now });
      }
      calls.delete(callId);
      ledger.close(callId);
      const late = now >= progress.call.deadlineAt;
      const reason = late ? "deadline" : "cancelled";
      const notRun = end?.kind === "refused" || end?.kind === "unreachable";
      const last = notRun ? refused(reason) : unknown(reason);
      return combineOutcomes(progress.fallbackOutcome, last);
    },
    inFlight: () => calls.size,
  };
}

function finishUnknownCall(): Step {
  return { kind: "finish", outcome: unknown("cancelled"), unspent: 0 };
}
