/** The ingress side of a simulated node: dispatching, tickets. */

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
import { createPlainDispatcher } from "./plain_dispatcher.ts";
import {
  digestOf,
  type Job,
  type Member,
  type Pending,
  type SimulatedCall,
  type SimulatedResult,
  type World,
} from "./sim_types.ts";

/** What the ingress side works with. */
export interface SimIngressConfig {
  readonly id: string;
  /** The node itself, once it exists. */
  readonly self: () => Member;
  readonly ledger: RetryLedger;
  readonly router: Router;
  readonly suspects: Suspects;
  readonly asProcess: (run: () => void) => void;
}

/** Takes a call and reports its result once. */
export type Handle = (
  call: SimulatedCall,
  done: (result: SimulatedResult) => void,
) => Pending;

/** The ingress side of a node. */
export interface SimIngress {
  readonly handle: Handle;
  readonly handleOnce: Handle;
}

interface SavedAnswer {
  result: SimulatedResult | undefined;
  readonly waiting: ((result: SimulatedResult) => void)[];
}

/** Creates the ingress side of a node. */
export function createSimIngress(
  world: World,
  config: SimIngressConfig,
): SimIngress {
  const { workload, variant, timeline, draw } = world;
  const { id, ledger, router, suspects, asProcess } = config;
  const dispatcher: Dispatcher = variant.retriesPerHop === undefined
    ? createDispatcher({
      router,
      ledger,
      callerBudget: createRetryBudget(),
      serviceBudget: createRetryBudget(),
      suspects,
    })
    : createPlainDispatcher(router, variant.retriesPerHop);
  const slotTimes = createServiceTime();
  const tickets: TicketStore = createTicketStore({
    instance: id,
    incarnation: "1",
  });
  let calls = 0;

  function levelOfCall({ tree, weight, parentLevel }: SimulatedCall) {
    const { catalog } = workload;
    const slotMs = slotTimes.averageOfKind(`${tree.service}/${tree.kind.name}`);
    const own = resolveKindLevel(tree.kind, { catalog, slotMs, weight });
    return parentLevel === undefined
      ? own
      : resolveChildLevel(parentLevel, own);
  }

  function handle(
    call: SimulatedCall,
    done: (result: SimulatedResult) => void,
  ): Pending {
    calls++;
    const callId = `${id}:${calls}`;
    const arrivedAt = timeline.now();
    const moment = () => ({ now: timeline.now(), random: draw.unit });
    const level = levelOfCall(call);
    let answeredRootId: string | undefined;
    let attempt: Pending | undefined;
    let ended = false;

    function conclude(outcome: Outcome, unspent: number): void {
      if (ended) return;
      ended = true;
      const urgent = level >= PROTECTED_LEVEL;
      const reason = outcome.kind === "refused" ? outcome.reason : "";
      const forced = reason === "quarantined" || reason === "leaving";
      if (urgent && reason !== "" && !forced) {
        world.countInversion(config.self(), call, arrivedAt);
      }
      done({ outcome, answeredRootId, unspent });
    }

    function follow(step: Step): void {
      if (ended) return;
      switch (step.kind) {
        case "finish":
          return conclude(step.outcome, step.unspent);
        case "wait":
          timeline.after(step.delayMs, () =>
            asProcess(() => {
              if (!ended) follow(dispatcher.resume(callId, moment()));
            }));
          return;
        case "attempt":
          attempt = forward(step);
      }
    }

    function forward(step: Extract<Step, { kind: "attempt" }>): Pending {
      const self = config.self();
      world.observations.attempts++;
      const target = world.find(step.upstream.id);
      let settled = false;
      function settle(end: AttemptEnd, rootId?: string): void {
        if (settled || ended) return;
        settled = true;
        answeredRootId = rootId;
        const report = target?.gate().load(timeline.now());
        const options = report ? { ...moment(), report } : moment();
        follow(dispatcher.settle(callId, end, options));
      }
      if (target === undefined) {
        settle({ kind: "unreachable" });
        return { cancel: () => {} };
      }
      const delay = world.latency(self, target);
      if (world.isCut(self, target)) {
        timeline.after(
          CONNECT_TIMEOUT_MS,
          () => asProcess(() => settle({ kind: "unreachable" })),
        );
        return { cancel: () => {} };
      }
      const runId = step.attemptId;
      const job: Job = {
        call,
        runId,
        allowance: step.retryShare,
        digest: digestOf(call),
        reply: ({ end, rootId, death, slotMs }) => {
          if (world.isCut(self, target)) return;
          timeline.after(delay, () =>
            asProcess(() => {
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
        delay,
        () => target.asProcess(() => target.submit(job, work)),
      );
      return {
        cancel: () => {
          if (settled || !variant.cancels) return;
          timeline.after(
            delay,
            () => target.asProcess(() => target.abandon(runId)),
          );
        },
      };
    }

    const dispatched: Call = {
      id: callId,
      service: call.tree.service,
      level,
      idempotent: call.tree.kind.idempotent,
      caller: call.caller,
      deadlineAt: call.deadlineAt,
      digest: digestOf(call),
      resend: call.resend,
      allowance: call.allowance,
    };
    asProcess(() => {
      if (!ended) follow(dispatcher.begin(dispatched, moment()));
    });

    function giveUp(): void {
      if (ended) return;
      attempt?.cancel();
      dispatcher.abandon(callId, { now: timeline.now() });
      conclude(unknown("deadline"), 0);
    }
    const patience = call.deadlineAt - timeline.now();
    timeline.after(patience, () => asProcess(giveUp));
    return {
      cancel: () => {
        if (variant.cancels) giveUp();
      },
    };
  }

  const answers = new Map<string, SavedAnswer>();

  /** One ticket a request: a resend joins the run or gets its answer. */
  function handleOnce(
    call: SimulatedCall,
    done: (result: SimulatedResult) => void,
  ): Pending {
    if (variant.retriesPerHop !== undefined) return handle(call, done);
    const now = timeline.now();
    const ticket = {
      home: id,
      incarnation: "1",
      nonce: call.rootId,
      expiresAt: now + 60_000,
    };
    const digest = digestOf(call);
    const verdict = tickets.present({ ticket, digest }, now);
    if (verdict.kind === "run") {
      const entry: SavedAnswer = { result: undefined, waiting: [done] };
      answers.set(call.rootId, entry);
      handle(call, (result) => {
        tickets.settle(call.rootId, result.outcome);
        entry.result = result;
        if (result.outcome.kind === "refused") answers.delete(call.rootId);
        for (const waiter of entry.waiting) waiter(result);
      });
      return { cancel: () => {} };
    }
    const entry = answers.get(call.rootId);
    if (entry?.result) done(entry.result);
    else entry?.waiting.push(done);
    return { cancel: () => {} };
  }

  return { handle, handleOnce };
}
