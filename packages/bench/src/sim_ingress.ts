/**
 * Ingress of a simulated node: dispatches calls to gates, and runs a call that
 * must not run twice at most once, by means of tickets.
 */

import { resolveKindLevel } from "@coltsfootdeal/bundle";
import {
  type AttemptEnd,
  type Call,
  createDispatcher,
  createRetryBudget,
  createServiceTime,
  createTicketStore,
  type Dispatcher,
  type Outcome,
  PROTECTED_LEVEL,
  resolveChildLevel,
  type RetryLedger,
  type Router,
  type Step,
  type Suspects,
  type TicketStore,
  unknown,
  type Work,
} from "@coltsfootdeal/policy";
import { CONNECT_TIMEOUT_MS } from "./constants.ts";
import { createFixedRetryDispatcher } from "./plain_dispatcher.ts";
import {
  type Attempt,
  digestCall,
  type Member,
  type PendingCall,
  type SimulatedCall,
  type SimulatedResult,
  type SimulationContext,
} from "./sim_types.ts";

/** What an ingress uses of its node. */
export interface SimIngressConfig {
  readonly id: string;
  /** Returns the own node, which is created after its ingress. */
  readonly self: () => Member;
  readonly ledger: RetryLedger;
  readonly router: Router;
  /** Calls that may have crashed a backend server. */
  readonly suspects: Suspects;
  /** Runs a function, after the pause if the process is paused. */
  readonly deferWhilePaused: (run: () => void) => void;
}

/**
 * Handles a call and reports its result exactly once: when it ends, when it is
 * cancelled or at its deadline.
 */
export type CallHandler = (
  call: SimulatedCall,
  done: (result: SimulatedResult) => void,
) => PendingCall;

/** Entry points for the calls of callers and of the own backend server. */
export interface SimIngress {
  readonly handle: CallHandler;
  /** Handles a call that must not run twice, with a ticket of this node. */
  readonly handleWithTicket: CallHandler;
}

/** Result of a call with a ticket, for its resends. */
interface SavedResult {
  /** Undefined while the call is in progress. */
  result: SimulatedResult | undefined;
  /** Called with the result when the call ends. */
  readonly waiting: ((result: SimulatedResult) => void)[];
}

/** Creates an ingress with no calls in progress. */
export function createSimIngress(
  simulation: SimulationContext,
  config: SimIngressConfig,
): SimIngress {
  const { workload, variant, timeline, rng } = simulation;
  const { id, ledger, router, suspects, deferWhilePaused } = config;
  // Only the policy has no fixed number of retries; the others are baselines.
  const dispatcher: Dispatcher = variant.retriesPerHop === undefined
    ? createDispatcher({
      router,
      ledger,
      callerBudget: createRetryBudget(),
      serviceBudget: createRetryBudget(),
      suspects,
    })
    : createFixedRetryDispatcher(router, variant.retriesPerHop);
  /** Average time that a run holds its slot, by service and kind. */
  const slotTimes = createServiceTime();
  const tickets: TicketStore = createTicketStore({
    instance: id,
    incarnation: "1",
  });
  let calls = 0;

  /** Resolves the priority level of a call; higher is more important. */
  function resolveCallLevel({ tree, weight, parentLevel }: SimulatedCall) {
    const { catalog } = workload;
    const slotMs = slotTimes.averageOfKind(`${tree.service}/${tree.kind.name}`);
    const ownLevel = resolveKindLevel(tree.kind, { catalog, slotMs, weight });
    return parentLevel === undefined
      ? ownLevel
      : resolveChildLevel(parentLevel, ownLevel);
  }

  function handle(
    call: SimulatedCall,
    done: (result: SimulatedResult) => void,
  ): PendingCall {
    calls++;
    const callId = `${id}:${calls}`;
    const arrivedAt = timeline.now();
    const context = () => ({
      now: timeline.now(),
      random: rng.uniform,
    });
    const level = resolveCallLevel(call);
    let answeredRootId: string | undefined;
    let pendingAttempt: PendingCall | undefined;
    let isEnded = false;

    function finishCall(outcome: Outcome, unusedRetries: number): void {
      if (isEnded) return;
      isEnded = true;
      const isProtected = level >= PROTECTED_LEVEL;
      const reason = outcome.kind === "refused" ? outcome.reason : "";
      // A rank inversion is the refusal of a protected call although less
      // important work holds a slot. These two reasons do not depend on load.
      const isIndependentOfLoad = reason === "quarantined" ||
        reason === "leaving";
      if (isProtected && reason !== "" && !isIndependentOfLoad) {
        simulation.countRankInversion(config.self(), call, arrivedAt);
      }
      done({ outcome, answeredRootId, unusedRetries });
    }

    function performStep(step: Step): void {
      if (isEnded) return;
      switch (step.kind) {
        case "finish":
          return finishCall(step.outcome, step.unspent);
        case "wait":
          timeline.after(step.delayMs, () =>
            deferWhilePaused(() => {
              if (!isEnded) performStep(dispatcher.resume(callId, context()));
            }));
          return;
        case "attempt":
          pendingAttempt = sendAttempt(step);
      }
    }

    function sendAttempt(
      step: Extract<Step, { kind: "attempt" }>,
    ): PendingCall {
      const self = config.self();
      simulation.observations.attempts++;
      const target = simulation.find(step.upstream.id);
      let isSettled = false;
      function settle(end: AttemptEnd, rootId?: string): void {
        if (isSettled || isEnded) return;
        isSettled = true;
        answeredRootId = rootId;
        // A gate reports its load with each answer. The simulation reads it
        // when the reply arrives.
        const report = target?.admission().load(timeline.now());
        const settleContext = report ? { ...context(), report } : context();
        performStep(dispatcher.settle(callId, end, settleContext));
      }
      if (target === undefined) {
        settle({ kind: "unreachable" });
        // No gate has the attempt, so there is nothing to cancel.
        return { cancel: () => {} };
      }
      const delayMs = simulation.latency(self, target);
      if (simulation.isPartitioned(self, target)) {
        timeline.after(
          CONNECT_TIMEOUT_MS,
          () => deferWhilePaused(() => settle({ kind: "unreachable" })),
        );
        return { cancel: () => {} };
      }
      // The gate runs an attempt under the attempt's id.
      const runId = step.attemptId;
      const attempt: Attempt = {
        call,
        runId,
        retryAllowance: step.retryShare,
        digest: digestCall(call),
        reply: ({ end, rootId, death, slotMs }) => {
          // A partition loses the reply; the call ends at its deadline.
          if (simulation.isPartitioned(self, target)) return;
          timeline.after(delayMs, () =>
            deferWhilePaused(() => {
              if (death) suspects.record(death);
              const { service: name, kind } = call.tree;
              if (slotMs > 0) {
                slotTimes.observe(`${name}/${kind.name}`, slotMs);
              }
              settle(end, rootId);
            }));
        },
        run: undefined,
        startedAt: undefined,
      };
      const work: Work = {
        id: runId,
        kind: call.tree.kind.name,
        level,
        caller: call.caller,
        deadlineAt: call.deadlineAt,
        cancellable: call.tree.kind.idempotent &&
          (workload.services.find((s) => s.name === call.tree.service)
            ?.cancellable ?? false),
        exclusive: step.exclusive,
      };
      timeline.after(
        delayMs,
        () => target.deferWhilePaused(() => target.submit(attempt, work)),
      );
      return {
        cancel: () => {
          if (isSettled || !variant.propagatesCancellation) return;
          timeline.after(
            delayMs,
            () => target.deferWhilePaused(() => target.abandon(runId)),
          );
        },
      };
    }

    const dispatchedCall: Call = {
      id: callId,
      service: call.tree.service,
      level,
      idempotent: call.tree.kind.idempotent,
      caller: call.caller,
      deadlineAt: call.deadlineAt,
      digest: digestCall(call),
      resend: call.resend,
      allowance: call.retryAllowance,
    };
    deferWhilePaused(() => {
      if (!isEnded) performStep(dispatcher.begin(dispatchedCall, context()));
    });

    /**
     * Ends a call at its deadline or when it is cancelled. The reason does not
     * matter after a cancellation: the run that made the call has ended.
     */
    function abandonCall(): void {
      if (isEnded) return;
      pendingAttempt?.cancel();
      dispatcher.abandon(callId, { now: timeline.now() });
      finishCall(unknown("deadline"), 0);
    }
    const remainingMs = call.deadlineAt - timeline.now();
    timeline.after(remainingMs, () => deferWhilePaused(abandonCall));
    return {
      cancel: () => {
        if (variant.propagatesCancellation) abandonCall();
      },
    };
  }

  /** Results of calls with a ticket, by root id. */
  const savedResults = new Map<string, SavedResult>();

  /**
   * Handles a call with one ticket per request: a resend waits for the run in
   * progress or gets its result. Baseline variants have no tickets. Callers
   * never cancel such a call, so `cancel` does nothing.
   */
  function handleWithTicket(
    call: SimulatedCall,
    done: (result: SimulatedResult) => void,
  ): PendingCall {
    if (variant.retriesPerHop !== undefined) return handle(call, done);
    const now = timeline.now();
    // The lifetime is that of the policy, TICKET_TTL_MS.
    const ticket = {
      home: id,
      incarnation: "1",
      nonce: call.rootId,
      expiresAt: now + 60_000,
    };
    const digest = digestCall(call);
    const verdict = tickets.present({ ticket, digest }, now);
    if (verdict.kind === "run") {
      const saved: SavedResult = { result: undefined, waiting: [done] };
      savedResults.set(call.rootId, saved);
      handle(call, (result) => {
        tickets.settle(call.rootId, result.outcome);
        saved.result = result;
        if (result.outcome.kind === "refused") savedResults.delete(call.rootId);
        for (const notify of saved.waiting) notify(result);
      });
      return { cancel: () => {} };
    }
    const saved = savedResults.get(call.rootId);
    if (saved?.result) done(saved.result);
    else saved?.waiting.push(done);
    return { cancel: () => {} };
  }

  return { handle, handleWithTicket };
}
