/** Simulated callers and records of their requests. */

import type { Outcome } from "@coltsfootdeal/policy";
import { CLIENT_LATENCY_MS } from "./constants.ts";
import type { RunCounts } from "./fake_backend.ts";
import type { SimulatedFleet } from "./fleet.ts";
import type { SimulatedNode } from "./sim_types.ts";
import type { RandomSource } from "./random.ts";
import type { Timeline } from "./timeline.ts";
import type { RootKind, Workload } from "./workload.ts";

/** A request and its result, as its caller sees it. */
export interface RequestRecord {
  readonly root: RootKind;
  readonly sentAt: number;
  /** When the answer arrived; undefined if not before the deadline. */
  answeredAt: number | undefined;
  /** Latest outcome over all resends. */
  outcome: Outcome["kind"];
}

/** Records and counts of all callers. */
export interface CallerCounts {
  readonly requests: RequestRecord[];
  /** Answers that belong to another request. */
  wrongAnswers: number;
  /** Refusals of requests that a backend server had started. */
  falseNotRun: number;
}

/** What the callers send, and to which fleet. */
export interface CallersConfig {
  readonly workload: Workload;
  readonly fleet: SimulatedFleet;
  readonly timeline: Timeline;
  readonly rng: RandomSource;
  readonly runCounts: RunCounts;
  /** Current rate of a root kind, in requests per second. */
  readonly rateOf: (root: RootKind) => number;
  /** Whether the last call of every chain fails at present. */
  readonly failing: () => boolean;
  /** How often a caller resends an unanswered request, without a delay. */
  readonly resends: () => number;
}

/** Callers of all root kinds. */
export interface Callers {
  readonly counts: CallerCounts;
  /** Sends requests until a time. */
  readonly start: (until: number) => void;
  /** Sends a request that crashes each backend server that runs it. */
  readonly sendPoison: (root: RootKind, resends: number) => void;
}

/** A request with the values that its resends share. */
interface PendingRequest {
  readonly record: RequestRecord;
  readonly rootId: string;
  readonly caller: string;
  readonly node: SimulatedNode;
  readonly deadlineAt: number;
  /** Whether the request crashes each backend server that runs it. */
  readonly poison: boolean;
  readonly resends: number;
}

/**
 * Time between the resends of a poison request. Each resend extends the
 * deadline by the same time.
 */
const POISON_RESEND_MS = 300;

/** Creates callers that have not sent anything yet. */
export function createCallers(config: CallersConfig): Callers {
  const { workload, fleet, timeline, rng, runCounts } = config;
  const counts: CallerCounts = {
    requests: [],
    wrongAnswers: 0,
    falseNotRun: 0,
  };
  let sent = 0;

  function chooseNode(root: RootKind): SimulatedNode {
    const nodes = fleet.nodesOf(root.tree.service);
    const callerDataCentre =
      workload.dataCentres[rng.integerBelow(workload.dataCentres.length)];
    const local = nodes.filter(({ dataCentre }) =>
      dataCentre === callerDataCentre
    );
    const candidates = local.length > 0 ? local : nodes;
    const node = candidates[rng.integerBelow(candidates.length)];
    if (node === undefined) {
      throw new Error(`service "${root.tree.service}" has no node to call`);
    }
    return node;
  }

  function sendNew(
    root: RootKind,
    options: { readonly poison?: boolean; readonly resends?: number } = {},
  ): void {
    sent++;
    const now = timeline.now();
    const record: RequestRecord = {
      root,
      sentAt: now,
      answeredAt: undefined,
      outcome: "unknown",
    };
    counts.requests.push(record);
    send({
      record,
      rootId: `${root.name}#${sent}`,
      caller: `office/${root.name}-${rng.integerBelow(root.callers)}`,
      node: chooseNode(root),
      deadlineAt: now + root.tree.kind.deadlineMs,
      poison: options.poison ?? false,
      resends: options.resends ?? config.resends(),
    }, 1);
  }

  function send(pendingRequest: PendingRequest, attempt: number): void {
    const { record, rootId, node, deadlineAt, poison } = pendingRequest;
    const { tree } = record.root;
    const mustNotRepeat = !tree.kind.idempotent;
    const requestId = mustNotRepeat ? rootId : `${rootId}/${attempt}`;
    timeline.after(CLIENT_LATENCY_MS, () => {
      const call = {
        rootId,
        requestId,
        caller: pendingRequest.caller,
        resend: attempt > 1,
        poison,
        failing: config.failing(),
        tree,
        parentLevel: undefined,
        weight: tree.kind.weight,
        // The answer needs this long to reach the caller in time.
        deadlineAt: deadlineAt - CLIENT_LATENCY_MS,
        retryAllowance: tree.kind.retryAllowance,
      };
      const handle = mustNotRepeat ? node.handleWithTicket : node.handle;
      handle(call, ({ outcome, answeredRootId }) => {
        timeline.after(CLIENT_LATENCY_MS, () => {
          receive(pendingRequest, {
            attempt,
            outcome,
            answeredRootId,
            requestId,
          });
        });
      });
    });
  }

  function receive(pendingRequest: PendingRequest, reply: {
    readonly attempt: number;
    readonly outcome: Outcome;
    readonly answeredRootId: string | undefined;
    readonly requestId: string;
  }): void {
    const { record, rootId, deadlineAt } = pendingRequest;
    const { outcome, attempt } = reply;
    const now = timeline.now();
    if (record.answeredAt !== undefined) return;
    record.outcome = outcome.kind;
    if (outcome.kind === "answered") {
      if (reply.answeredRootId !== rootId) counts.wrongAnswers++;
      else if (now <= deadlineAt) record.answeredAt = now;
      return;
    }
    const wasRun = runCounts.startedRequests.has(reply.requestId);
    if (outcome.kind === "refused" && wasRun) counts.falseNotRun++;
    if (attempt > pendingRequest.resends) return;
    if (pendingRequest.poison) {
      const resent = {
        ...pendingRequest,
        deadlineAt: deadlineAt + POISON_RESEND_MS,
      };
      timeline.after(POISON_RESEND_MS, () => send(resent, attempt + 1));
    } else if (now < deadlineAt) send(pendingRequest, attempt + 1);
  }

  function scheduleArrival(root: RootKind, until: number): void {
    const rate = config.rateOf(root);
    const gapMs = rng.exponential(1_000 / Math.max(rate, 1e-9));
    // Drawing anew after 100 ms makes a change of the rate take effect; the
    // distribution stays the same, since it is memoryless.
    const waitMs = Math.min(gapMs, 100);
    timeline.after(waitMs, () => {
      if (timeline.now() >= until) return;
      if (gapMs <= 100) sendNew(root);
      scheduleArrival(root, until);
    });
  }

  return {
    counts,
    start: (until) => {
      for (const root of workload.roots) scheduleArrival(root, until);
    },
    sendPoison: (root, resends) => sendNew(root, { poison: true, resends }),
  };
}
