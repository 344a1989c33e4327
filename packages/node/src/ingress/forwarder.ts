/** Sends attempts to the gates of upstreams and converts their replies. */

import type { Clock } from "@coltsfootdeal/kernel";
import type { AttemptEnd, BackendReport, Outcome } from "@coltsfootdeal/policy";
import { LINK_CANCEL_TIMEOUT_MS } from "../constants.ts";
import type { Gate, GateCall, GateReply } from "../gate/gate.ts";
import type { LinkClient, LinkResult } from "../link/link_client.ts";
import type { ReplyMessage } from "../link/messages.ts";
import type { AttemptRequest, AttemptResult } from "./ingress.ts";

/** Resolved configuration of a forwarder. */
export interface ForwarderConfig {
  readonly clock: Clock;
  readonly links: LinkClient;
  /** Data address of this node, whose gate is called within the process. */
  readonly ownAddress: string;
  /** Service of this node's backend server. */
  readonly service: string;
  readonly gate: Gate;
  /** Bundle version in force and its source, sent with each attempt. */
  readonly bundleAnnouncement: () => string;
  /** What this node remembers of a backend server, by instance id. */
  readonly rememberedOf: (instance: string) => BackendReport | undefined;
  /** Called with what a gate reports of its backend server. */
  readonly onBackendReport: (report: BackendReport) => void;
  /** Called with the state that a node reports in each reply. */
  readonly onInstanceSeen: (instance: {
    readonly instance: string;
    readonly incarnation: string;
    readonly leaving: boolean;
  }) => void;
}

/** Sends one attempt and resolves to its result. */
export type AttemptSender = (attempt: AttemptRequest) => Promise<AttemptResult>;

function toAttemptEnd(outcome: Outcome, unusedRetries: number): AttemptEnd {
  switch (outcome.kind) {
    case "answered":
    case "failed":
      return { ...outcome, unspent: unusedRetries };
    case "refused":
    case "unknown":
      return outcome;
  }
}

/** Maps a link failure: only an attempt that was not sent surely did not run. */
function fromLinkFailure(
  end: Exclude<LinkResult, { kind: "reply" }>,
): AttemptEnd {
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
export function createForwarder(config: ForwarderConfig): AttemptSender {
  const { clock, links, gate } = config;

  function toGateCall(attempt: AttemptRequest): Omit<GateCall, "deadlineAt"> {
    const { request } = attempt;
    return {
      id: attempt.id,
      requestId: request.requestId,
      kind: request.kind.name,
      level: attempt.level,
      weight: attempt.weight,
      account: request.account,
      caller: request.caller,
      retryAllowance: attempt.retryAllowance,
      exclusive: attempt.exclusive,
      remembered: config.rememberedOf(attempt.upstream.id),
      payload: attempt.payload,
    };
  }

  /**
   * Waits for the own gate's reply; undefined if the signal was aborted and no
   * reply followed in time, as on a link to another gate.
   */
  function waitForReply(
    reply: Promise<GateReply>,
    signal: AbortSignal,
  ): Promise<GateReply | undefined> {
    return new Promise((resolve) => {
      const giveUp = () =>
        clock.after(LINK_CANCEL_TIMEOUT_MS, () => resolve(undefined));
      signal.addEventListener("abort", giveUp, { once: true });
      reply.then((received) => {
        signal.removeEventListener("abort", giveUp);
        resolve(received);
      });
    });
  }

  async function sendToOwnGate(
    attempt: AttemptRequest,
  ): Promise<AttemptResult> {
    if (attempt.request.service !== config.service) {
      // The instance list is stale: it still lists a former backend server of
      // another service at this address.
      const end: AttemptEnd = { kind: "unreachable" };
      return { end, answer: undefined, report: undefined, death: undefined };
    }
    const call = { ...toGateCall(attempt), deadlineAt: attempt.deadlineAt };
    const reply = await waitForReply(
      gate.submit(call, attempt.signal),
      attempt.signal,
    );
    if (reply === undefined) {
      const end: AttemptEnd = { kind: "unknown", reason: "cancelled" };
      return { end, answer: undefined, report: undefined, death: undefined };
    }
    const { slotMs, usualMs, makesNestedCalls: nested } = reply;
    const stated = gate.report();
    if (stated !== undefined) config.onBackendReport(stated);
    return {
      end: toAttemptEnd(reply.answer.outcome, reply.unusedRetries),
      answer: reply.answer,
      report: { ...gate.load(), slotMs, usualMs, nested },
      death: reply.death,
    };
  }

  function fromReply(reply: ReplyMessage): AttemptResult {
    const { answer, report, instance, incarnation, death, stated } = reply;
    if (stated !== undefined) config.onBackendReport(stated);
    config.onInstanceSeen({ instance, incarnation, leaving: report.leaving });
    return {
      end: toAttemptEnd(answer.outcome, reply.unusedRetries),
      answer,
      report,
      death: death && { ...death, at: clock.now() },
    };
  }

  async function sendToRemoteGate(
    attempt: AttemptRequest,
  ): Promise<AttemptResult> {
    const { request, upstream } = attempt;
    const end = await links.send(upstream.address, {
      service: request.service,
      remainingMs: Math.max(0, attempt.deadlineAt - clock.now()),
      version: config.bundleAnnouncement(),
      call: toGateCall(attempt),
    }, attempt.signal);
    if (end.kind === "reply") return fromReply(end.reply);
    return {
      end: fromLinkFailure(end),
      answer: undefined,
      report: undefined,
      death: undefined,
    };
  }

  return (attempt) =>
    attempt.upstream.address === config.ownAddress
      ? sendToOwnGate(attempt)
      : sendToRemoteGate(attempt);
}
