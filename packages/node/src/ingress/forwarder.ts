/** Sends attempts to gates and reads their replies. */

import type { Clock } from "@coltsfootdeal/kernel";
import type { AttemptEnd, Outcome } from "@coltsfootdeal/policy";
import type { Gate, GateCall } from "../gate/gate.ts";
import type { LinkClient, LinkEnd } from "../link/link_client.ts";
import type { ReplyMessage } from "../link/messages.ts";
import type { Forward, ForwardEnd } from "./ingress.ts";

/** Resolved configuration of a forwarder. */
export interface ForwarderConfig {
  readonly clock: Clock;
  readonly links: LinkClient;
  /** Data address of this node, whose gate is reached without a connection. */
  readonly ownAddress: string;
  /** Service beside this node. */
  readonly service: string;
  readonly gate: Gate;
  /** Version of the bundle in force, sent along with each attempt. */
  readonly bundleAnnouncement: () => string;
  /** Told what a node says about itself on an answer. */
  readonly onInstanceSeen: (seen: {
    readonly instance: string;
    readonly incarnation: string;
    readonly leaving: boolean;
  }) => void;
}

/** Sends one attempt. */
export type Forwarder = (forward: Forward) => Promise<ForwardEnd>;

function endOf(outcome: Outcome, unspent: number): AttemptEnd {
  switch (outcome.kind) {
    case "answered":
    case "failed":
      return { ...outcome, unspent };
    case "refused":
    case "unknown":
      return outcome;
  }
}

function lostEnd(end: Exclude<LinkEnd, { kind: "reply" }>): AttemptEnd {
  switch (end.kind) {
    case "not_sent":
      return { kind: "unreachable" };
    case "lost":
      return { kind: "unknown", reason: "connection_lost" };
    case "aborted":
      return { kind: "unknown", reason: "cancelled" };
  }
}

/** Creates a forwarder. */
export function createForwarder(config: ForwarderConfig): Forwarder {
  const { clock, links, gate } = config;

  function callOf(forward: Forward): Omit<GateCall, "deadlineAt"> {
    const { request } = forward;
    return {
      id: forward.id,
      requestId: request.requestId,
      kind: request.kind.name,
      level: forward.level,
      weight: forward.weight,
      account: request.account,
      caller: request.caller,
      allowance: forward.share,
      alone: forward.alone,
      payload: forward.payload,
    };
  }

  async function toOwnGate(forward: Forward): Promise<ForwardEnd> {
    if (forward.request.service !== config.service) {
      // The list still names a backend server that had this address before.
      const end: AttemptEnd = { kind: "unreachable" };
      return { end, answer: undefined, report: undefined, death: undefined };
    }
    const call = { ...callOf(forward), deadlineAt: forward.deadlineAt };
    const reply = await gate.submit(call, forward.signal);
    const { slotMs, usualMs, nested } = reply;
    return {
      end: endOf(reply.answer.outcome, reply.unspent),
      answer: reply.answer,
      report: { ...gate.load(), slotMs, usualMs, nested },
      death: reply.death,
    };
  }

  function fromReply(reply: ReplyMessage): ForwardEnd {
    const { answer, report, instance, incarnation, death } = reply;
    config.onInstanceSeen({ instance, incarnation, leaving: report.leaving });
    return {
      end: endOf(answer.outcome, reply.unspent),
      answer,
      report,
      death: death && { ...death, at: clock.now() },
    };
  }

  async function toOtherGate(forward: Forward): Promise<ForwardEnd> {
    const { request, upstream } = forward;
    const end = await links.send(upstream.address, {
      service: request.service,
      remainingMs: Math.max(0, forward.deadlineAt - clock.now()),
      version: config.bundleAnnouncement(),
      call: callOf(forward),
    }, forward.signal);
    if (end.kind === "reply") return fromReply(end.reply);
    return {
      end: lostEnd(end),
      answer: undefined,
      report: undefined,
      death: undefined,
    };
  }

  return (forward) =>
    forward.upstream.address === config.ownAddress
      ? toOwnGate(forward)
      : toOtherGate(forward);
}
