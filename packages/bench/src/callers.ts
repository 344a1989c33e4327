/** Callers in virtual time, and what they were told. */

import type { Outcome } from "@coltsfootdeal/policy";
import { CLIENT_LATENCY_MS } from "./constants.ts";
import type { Truth } from "./fake_backend.ts";
import type { SimulatedFleet } from "./fleet.ts";
import type { SimulatedNode } from "./sim_types.ts";
import type { Draw } from "./random.ts";
import type { Timeline } from "./timeline.ts";
import type { RootKind, Workload } from "./workload.ts";

/** A request as its caller saw it. */
export interface RequestRecord {
  readonly root: RootKind;
  readonly sentAt: number;
  /** When the whole answer arrived, if it did before the deadline. */
  answeredAt: number | undefined;
  outcome: Outcome["kind"];
}

/** What callers have counted. */
export interface CallerCounts {
  readonly requests: RequestRecord[];
  wrongAnswers: number;
  falseNotRun: number;
}

/** Configuration of callers. */
export interface CallersConfig {
  readonly workload: Workload;
  readonly fleet: SimulatedFleet;
  readonly timeline: Timeline;
  readonly draw: Draw;
  readonly truth: Truth;
  /** Requests a second of a root kind at present. */
  readonly rateOf: (root: RootKind) => number;
  /** Whether requests fail at the end of their chains at present. */
  readonly failing: () => boolean;
  /** Times that a caller sends again at once. */
  readonly resends: () => number;
}

/** Callers that send requests. */
export interface Callers {
  readonly counts: CallerCounts;
  readonly start: (until: number) => void;
  /** One request that crashes whatever runs it, and its resends. */
  readonly poison: (root: RootKind, resends: number) => void;
}

interface Sending {
  readonly record: RequestRecord;
  readonly rootId: string;
  readonly caller: string;
  readonly node: SimulatedNode;
  readonly deadlineAt: number;
  readonly poison: boolean;
  readonly resends: number;
}

/** Time between the resends of a poisonous request. */
const POISON_RESEND_MS = 300;

/** Creates callers that have sent nothing. */
export function createCallers(config: CallersConfig): Callers {
  const { workload, fleet, timeline, draw, truth } = config;
  const counts: CallerCounts = {
    requests: [],
    wrongAnswers: 0,
    falseNotRun: 0,
  };
  let sent = 0;

  function chooseNode(root: RootKind): SimulatedNode {
    const nodes = fleet.nodesOf(root.tree.service);
    const place = workload.dataCentres[draw.below(workload.dataCentres.length)];
    const near = nodes.filter(({ dataCentre }) => dataCentre === place);
    const from = near.length > 0 ? near : nodes;
    const node = from[draw.below(from.length)];
    if (node === undefined) throw new Error("a service has nodes");
    return node;
  }

  function request(
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
      caller: `office/${root.name}-${draw.below(root.callers)}`,
      node: chooseNode(root),
      deadlineAt: now + root.tree.kind.deadlineMs,
      poison: options.poison ?? false,
      resends: options.resends ?? config.resends(),
    }, 1);
  }

  function send(sending: Sending, attempt: number): void {
    const { record, rootId, node, deadlineAt, poison } = sending;
    const { tree } = record.root;
    const once = !tree.kind.idempotent;
    const requestId = once ? rootId : `${rootId}/${attempt}`;
    timeline.after(CLIENT_LATENCY_MS, () => {
      const call = {
        rootId,
        requestId,
        caller: sending.caller,
        resend: attempt > 1,
        poison,
        failing: config.failing(),
        tree,
        parentLevel: undefined,
        weight: tree.kind.weight,
        // What is answered later than this arrives too late.
        deadlineAt: deadlineAt - CLIENT_LATENCY_MS,
        allowance: tree.kind.retryAllowance,
      };
      const handle = once ? node.handleOnce : node.handle;
      handle(call, ({ outcome, answeredRootId }) => {
        timeline.after(CLIENT_LATENCY_MS, () => {
          receive(sending, { attempt, outcome, answeredRootId, requestId });
        });
      });
    });
  }

  function receive(sending: Sending, reply: {
    readonly attempt: number;
    readonly outcome: Outcome;
    readonly answeredRootId: string | undefined;
    readonly requestId: string;
  }): void {
    const { record, rootId, deadlineAt } = sending;
    const { outcome, attempt } = reply;
    const now = timeline.now();
    if (record.answeredAt !== undefined) return;
    record.outcome = outcome.kind;
    if (outcome.kind === "answered") {
      if (reply.answeredRootId !== rootId) counts.wrongAnswers++;
      else if (now <= deadlineAt) record.answeredAt = now;
      return;
    }
    const seen = truth.touched.has(reply.requestId);
    if (outcome.kind === "refused" && seen) counts.falseNotRun++;
    if (attempt > sending.resends) return;
    if (sending.poison) {
      const again = { ...sending, deadlineAt: deadlineAt + POISON_RESEND_MS };
      timeline.after(POISON_RESEND_MS, () => send(again, attempt + 1));
    } else if (now < deadlineAt) send(sending, attempt + 1);
  }

  function arrive(root: RootKind, until: number): void {
    const rate = config.rateOf(root);
    const gap = draw.exponential(1_000 / Math.max(rate, 1e-9));
    // A change of the rate is noticed within a tenth of a second.
    const wait = Math.min(gap, 100);
    timeline.after(wait, () => {
      if (timeline.now() >= until) return;
      if (gap <= 100) request(root);
      arrive(root, until);
    });
  }

  return {
    counts,
    start: (until) => {
      for (const root of workload.roots) arrive(root, until);
    },
    poison: (root, resends) => request(root, { poison: true, resends }),
  };
}
