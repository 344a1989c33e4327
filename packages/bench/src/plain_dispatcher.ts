/** Dispatcher of the baselines: a fixed number of retries, no budgets. */

import type {
  Call,
  DecisionContext,
  Dispatcher,
  Outcome,
  Router,
  Step,
} from "@coltsfootdeal/policy";

/** A call in progress. */
interface CallProgress {
  readonly call: Call;
  attempts: number;
  /** Upstream of the latest attempt; empty before the first one. */
  upstream: string;
}

const FAILED: Outcome = { kind: "failed", starved: false };

/**
 * Creates a dispatcher that retries every attempt without an answer, at once
 * and at a gate that the router picks, up to `retries` times.
 */
export function createFixedRetryDispatcher(
  router: Router,
  retries: number,
): Dispatcher {
  const calls = new Map<string, CallProgress>();

  function finish(id: string, outcome: Outcome): Step {
    calls.delete(id);
    return { kind: "finish", outcome, unspent: 0 };
  }

  /** Starts the next attempt; ends the call if no retry or gate is left. */
  function attemptOrFinish(
    progress: CallProgress,
    lastOutcome: Outcome,
    context: DecisionContext,
  ): Step {
    const { call } = progress;
    if (progress.attempts > retries) return finish(call.id, lastOutcome);
    // The highest level, so that no gate is passed over for its accept level.
    const request = { service: call.service, level: Infinity };
    const upstream = router.pick(request, context);
    if (upstream === undefined) return finish(call.id, lastOutcome);
    progress.attempts++;
    progress.upstream = upstream.id;
    router.begin(upstream.id);
    const attemptId = `${call.id}.${progress.attempts}`;
    return {
      kind: "attempt",
      attemptId,
      upstream,
      retryShare: 0,
      exclusive: false,
    };
  }

  return {
    begin: (call, context) => {
      const progress = { call, attempts: 0, upstream: "" };
      calls.set(call.id, progress);
      return attemptOrFinish(progress, FAILED, context);
    },
    // Never called, since this dispatcher returns no `wait` step.
    resume: (id) => finish(id, FAILED),
    settle: (id, end, options) => {
      const progress = calls.get(id);
      if (progress === undefined) return finish(id, FAILED);
      // Always a success, so that the router ejects no gate.
      router.end(progress.upstream, "success", options);
      if (end.kind === "answered") return finish(id, { kind: "answered" });
      const lastOutcome: Outcome = end.kind === "unreachable"
        ? { kind: "unknown", reason: "connection_lost" }
        : end.kind === "failed"
        ? FAILED
        : end;
      return attemptOrFinish(progress, lastOutcome, options);
    },
    abandon: (id, { now }) => {
      const progress = calls.get(id);
      if (progress) router.end(progress.upstream, "success", { now });
      calls.delete(id);
      return { kind: "unknown", reason: "cancelled" };
    },
    inFlight: () => calls.size,
  };
}
