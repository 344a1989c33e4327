/** The library for callers: deadlines, tickets, cancellation, true outcomes. */

import { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import { Agent } from "undici";

/** Who calls. */
export interface Identity {
  readonly account: string;
  readonly caller: string;
  /** Bearer token of the account, if the bundle asks for one. */
  readonly token?: string;
}

/** Resolved configuration of a client. */
export interface ClientConfig {
  /** Data addresses of nodes (IP number and port), the preferred one first. */
  readonly nodes: readonly string[];
  readonly identity: Identity;
  /**
   * Tickets kept in hand.
   * @default 4
   */
  readonly ticketsInHand?: number;
  /**
   * Time for which a ticket in hand is used, in ms.
   * @default 30000
   */
  readonly ticketUseMs?: number;
}

/** A call. */
export interface ClientCall {
  readonly service: string;
  readonly kind: string;
  readonly body: Uint8Array | string;
  readonly contentType?: string;
  /** Time within which the answer is of use, in ms. */
  readonly deadlineMs: number;
  /** Whether the kind must not run twice; the call then takes a ticket. */
  readonly once?: boolean;
  /** Cancels the call. */
  readonly signal?: AbortSignal;
}

/** What became of a call. */
export type ClientOutcome =
  /** The whole answer. */
  | {
    readonly kind: "answered";
    readonly status: number;
    readonly contentType: string | undefined;
    readonly body: Buffer;
  }
  /** The call was not run. */
  | {
    readonly kind: "refused";
    readonly reason: string;
    readonly retryAfterMs: number;
  }
  /** The call may have been run; `resume` asks again without running it. */
  | { readonly kind: "unknown"; readonly reason: string }
  /** The call was run and the backend server says that it failed. */
  | { readonly kind: "failed"; readonly body: Buffer };

/** A call in progress. */
export interface PendingCall {
  readonly outcome: Promise<ClientOutcome>;
  /**
   * Sends the call again with the same ticket: it joins the running call or
   * gets the saved answer. Only for calls with `once`.
   */
  readonly resume: (deadlineMs: number) => Promise<ClientOutcome>;
}

/** Sends calls to nodes. */
export interface Client {
  readonly call: (call: ClientCall) => Promise<ClientOutcome>;
  readonly begin: (call: ClientCall) => PendingCall;
  readonly close: () => Promise<void>;
}

interface HeldTicket {
  readonly text: string;
  readonly node: string;
  readonly takenAt: number;
}

interface Sending {
  readonly node: string;
  readonly deadlineMs: number;
  readonly attempt: number;
  readonly ticket?: string;
  readonly requestId: string;
}

type Sent =
  | { readonly kind: "outcome"; readonly outcome: ClientOutcome }
  /** Nothing was sent. */
  | { readonly kind: "unreachable" };

const TICKETS_IN_HAND = 4;
const TICKET_USE_MS = 30_000;
/** Time for which a node that is leaving is not called. */
const AVOID_MS = 10_000;
const NOT_SENT = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

function unknown(reason: string): ClientOutcome {
  return { kind: "unknown", reason };
}

function refusal(reason: string): ClientOutcome {
  return { kind: "refused", reason, retryAfterMs: 0 };
}

function textOf(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

function codeOf(error: unknown): string {
  return String((error as { readonly code?: unknown } | null)?.code ?? "");
}

/** Creates a client. */
export function createClient(config: ClientConfig): Client {
  const agent = new Agent({
    connect: { timeout: 500 },
    keepAliveTimeout: 30_000,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const ticketsInHand = config.ticketsInHand ?? TICKETS_IN_HAND;
  const ticketUseMs = config.ticketUseMs ?? TICKET_USE_MS;
  const tickets: HeldTicket[] = [];
  const avoidUntil = new Map<string, number>();
  const identityHeaders: Record<string, string> = {
    "coltsfootdeal-account": config.identity.account,
    "coltsfootdeal-caller": config.identity.caller,
  };
  const { token } = config.identity;
  if (token !== undefined) {
    identityHeaders["authorization"] = `Bearer ${token}`;
  }

  /** Nodes in order of preference, those that are leaving last. */
  function orderedNodes(): readonly string[] {
    const now = performance.now();
    const avoided = (node: string) => (avoidUntil.get(node) ?? 0) > now;
    return [
      ...config.nodes.filter((node) => !avoided(node)),
      ...config.nodes.filter(avoided),
    ];
  }

  function avoid(node: string): void {
    avoidUntil.set(node, performance.now() + AVOID_MS);
    const kept = tickets.filter((ticket) => ticket.node !== node);
    tickets.splice(0, tickets.length, ...kept);
  }

  async function fetchTickets(node: string): Promise<boolean> {
    try {
      const response = await agent.request({
        origin: `http://${node}`,
        path: `/v1/tickets?count=${ticketsInHand}`,
        method: "POST",
        headers: identityHeaders,
        signal: AbortSignal.timeout(1_000),
      });
      const body = await response.body.json() as { tickets?: string[] };
      const takenAt = performance.now();
      const texts = body.tickets ?? [];
      tickets.push(...texts.map((text) => ({ text, node, takenAt })));
      return texts.length > 0;
    } catch {
      return false;
    }
  }

  async function takeTicket(): Promise<HeldTicket | undefined> {
    const now = performance.now();
    while (tickets.length > 0) {
      const ticket = tickets.shift();
      if (ticket && now - ticket.takenAt < ticketUseMs) return ticket;
    }
    for (const node of orderedNodes()) {
      if (await fetchTickets(node)) return tickets.shift();
    }
    return undefined;
  }

  function headersOf(call: ClientCall, sending: Sending) {
    return {
      ...identityHeaders,
      "content-type": call.contentType ?? "application/octet-stream",
      "coltsfootdeal-deadline-ms": String(Math.ceil(sending.deadlineMs)),
      "coltsfootdeal-attempt": String(sending.attempt),
      "coltsfootdeal-request": sending.requestId,
      ...(sending.ticket ? { "coltsfootdeal-ticket": sending.ticket } : {}),
    };
  }

  async function send(call: ClientCall, sending: Sending): Promise<Sent> {
    const timeout = AbortSignal.timeout(Math.ceil(sending.deadlineMs));
    const signal = call.signal
      ? AbortSignal.any([call.signal, timeout])
      : timeout;
    try {
      const response = await agent.request({
        origin: `http://${sending.node}`,
        path: `/v1/call/${call.service}/${call.kind}`,
        method: "POST",
        headers: headersOf(call, sending),
        body: Buffer.from(call.body),
        signal,
      });
      const body = Buffer.from(await response.body.arrayBuffer());
      const { statusCode, headers } = response;
      return { kind: "outcome", outcome: outcomeOf(statusCode, headers, body) };
    } catch (error) {
      if (NOT_SENT.has(codeOf(error))) return { kind: "unreachable" };
      const reason = timeout.aborted
        ? "deadline"
        : signal.aborted
        ? "cancelled"
        : "connection_lost";
      return { kind: "outcome", outcome: unknown(reason) };
    }
  }

  function outcomeOf(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
    body: Buffer,
  ): ClientOutcome {
    const reason = textOf(headers["coltsfootdeal-reason"]) ?? "";
    switch (textOf(headers["coltsfootdeal-outcome"])) {
      case "answered": {
        const contentType = textOf(headers["content-type"]);
        return { kind: "answered", status, contentType, body };
      }
      case "refused": {
        const hint = textOf(headers["coltsfootdeal-retry-after-ms"]);
        return { kind: "refused", reason, retryAfterMs: Number(hint ?? 0) };
      }
      case "failed":
        return { kind: "failed", body };
      default:
        return unknown(reason || "connection_lost");
    }
  }

  /** Tries other nodes only while the call has certainly not been run. */
  async function sendPlain(
    call: ClientCall,
    requestId: string,
  ): Promise<ClientOutcome> {
    const startedAt = performance.now();
    for (const node of orderedNodes()) {
      const deadlineMs = call.deadlineMs - (performance.now() - startedAt);
      if (deadlineMs <= 0) return refusal("deadline");
      const sent = await send(call, {
        node,
        deadlineMs,
        attempt: 1,
        requestId,
      });
      if (sent.kind === "unreachable") {
        avoid(node);
        continue;
      }
      const { outcome } = sent;
      const away = outcome.kind === "refused" &&
        (outcome.reason === "leaving" || outcome.reason === "not_ready");
      if (!away) return outcome;
      avoid(node);
    }
    return refusal("unreachable");
  }

  async function sendOnce(
    call: ClientCall,
    requestId: string,
    options: { readonly onTicket: (ticket: HeldTicket) => void },
  ): Promise<ClientOutcome> {
    for (let tries = 0; tries <= config.nodes.length; tries++) {
      const ticket = await takeTicket();
      if (ticket === undefined) return refusal("ticket_exhausted");
      options.onTicket(ticket);
      const sent = await send(call, {
        node: ticket.node,
        deadlineMs: call.deadlineMs,
        attempt: 1,
        ticket: ticket.text,
        requestId,
      });
      if (sent.kind === "outcome") {
        const { outcome } = sent;
        const leaving = outcome.kind === "refused" &&
          outcome.reason === "leaving";
        if (!leaving) return outcome;
      }
      // The ticket was never presented, or its home states that it did not
      // run the call: another ticket is as good.
      avoid(ticket.node);
    }
    return refusal("unreachable");
  }

  function begin(call: ClientCall): PendingCall {
    const requestId = randomUUID();
    let held: HeldTicket | undefined;
    let attempt = 1;
    const onTicket = (ticket: HeldTicket) => {
      held = ticket;
    };
    const outcome = call.once
      ? sendOnce(call, requestId, { onTicket })
      : sendPlain(call, requestId);

    async function resume(deadlineMs: number): Promise<ClientOutcome> {
      if (held === undefined) return unknown("ticket_home_gone");
      attempt++;
      const { node, text: ticket } = held;
      const sending = { node, deadlineMs, attempt, ticket, requestId };
      const sent = await send(call, sending);
      // The home is gone, and with it what it knew.
      return sent.kind === "outcome"
        ? sent.outcome
        : unknown("ticket_home_gone");
    }

    return { outcome, resume };
  }

  return {
    call: (call) => begin(call).outcome,
    begin,
    close: () => agent.destroy(),
  };
}
