/**
 * Client library for callers: sends calls to nodes with a deadline, and reports
 * for every call whether it was run, was not run, or may have been run.
 */

import { Buffer } from "node:buffer";
import { randomUUID } from "node:crypto";
import { Agent } from "undici";

/** Identity of the caller; sent as headers with every request. */
export interface Identity {
  /** Name of the account in the bundle. */
  readonly account: string;
  /** Caller name; must match one of the account's caller patterns. */
  readonly caller: string;
  /** Bearer token of the account, if the bundle requires one. */
  readonly token?: string;
}

/** Configuration of a client. */
export interface ClientConfig {
  /** Data addresses of nodes (IP address and port), in order of preference. */
  readonly nodes: readonly string[];
  readonly identity: Identity;
  /**
   * Number of tickets fetched from a node in one request. Unused tickets are
   * kept for later calls.
   * @default 4
   */
  readonly ticketsInHand?: number;
  /**
   * Maximum age of a ticket when it is used, in ms. Older ones are discarded.
   * @default 30000
   */
  readonly ticketUseMs?: number;
}

/** A call to one kind of one service. */
export interface ClientCall {
  readonly service: string;
  readonly kind: string;
  readonly body: Uint8Array | string;
  readonly contentType?: string;
  /** Time until the caller no longer needs the answer, in ms. */
  readonly deadlineMs: number;
  /**
   * Whether the call must run at most once, even if it is sent again. The call
   * is then sent with a ticket.
   * @default false
   */
  readonly once?: boolean;
  /** Cancels the call when aborted; the outcome may then be `unknown`. */
  readonly signal?: AbortSignal;
}

/** Outcome of a call. */
export type ClientOutcome =
  /** The call was run, and the complete answer was received. */
  | {
    readonly kind: "answered";
    readonly status: number;
    readonly contentType: string | undefined;
    readonly body: Buffer;
  }
  /** The call was not run; it may be sent again after `retryAfterMs`. */
  | {
    readonly kind: "refused";
    readonly reason: string;
    readonly retryAfterMs: number;
  }
  /**
   * The call may have been run. If it was sent with a ticket, `resume` asks for
   * its outcome without running it twice.
   */
  | { readonly kind: "unknown"; readonly reason: string }
  /** The call was run, and the backend server reported a failure. */
  | { readonly kind: "failed"; readonly body: Buffer };

/** A call in progress, with the means to resume it. */
export interface PendingCall {
  readonly outcome: Promise<ClientOutcome>;
  /**
   * Sends the call again with the same ticket, to the node that issued it. The
   * node joins it to the running call or returns the stored answer. Only calls
   * with `once` can be resumed; others get `unknown`.
   */
  readonly resume: (deadlineMs: number) => Promise<ClientOutcome>;
}

/** Sends calls to nodes. */
export interface Client {
  /** Sends a call and waits for its outcome; never rejects on network errors. */
  readonly call: (call: ClientCall) => Promise<ClientOutcome>;
  /** Sends a call that can be resumed. */
  readonly begin: (call: ClientCall) => PendingCall;
  /** Closes all connections; calls in progress are aborted. */
  readonly close: () => Promise<void>;
}

/** A ticket and the node that issued it, which runs its call at most once. */
interface CachedTicket {
  readonly text: string;
  readonly node: string;
  readonly fetchedAt: number;
}

/** Where and how one HTTP request of a call is sent. */
interface AttemptOptions {
  readonly node: string;
  readonly deadlineMs: number;
  /** Attempt number, from 1. */
  readonly attempt: number;
  readonly ticket?: string;
  /** Identifies the call; the same for all its attempts. */
  readonly requestId: string;
}

type AttemptResult =
  | { readonly kind: "outcome"; readonly outcome: ClientOutcome }
  /** No connection was made, so the call was not sent. */
  | { readonly kind: "unreachable" };

const DEFAULT_TICKETS_IN_HAND = 4;
const DEFAULT_TICKET_USE_MS = 30_000;
/** Time for which an unavailable node is tried last. */
const NODE_AVOIDANCE_MS = 10_000;
/** Errors that occur before anything of a request is sent. */
const CONNECT_ERRORS = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

function unknownOutcome(reason: string): ClientOutcome {
  return { kind: "unknown", reason };
}

function refusedOutcome(reason: string): ClientOutcome {
  return { kind: "refused", reason, retryAfterMs: 0 };
}

function firstValue(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

function errorCode(error: unknown): string {
  return String((error as { readonly code?: unknown } | null)?.code ?? "");
}

/**
 * Creates a client. Connections are opened when they are first needed; `close`
 * releases them.
 */
export function createClient(config: ClientConfig): Client {
  const agent = new Agent({
    connect: { timeout: 500 },
    keepAliveTimeout: 30_000,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const ticketsInHand = config.ticketsInHand ?? DEFAULT_TICKETS_IN_HAND;
  const ticketUseMs = config.ticketUseMs ?? DEFAULT_TICKET_USE_MS;
  const tickets: CachedTicket[] = [];
  const avoidUntil = new Map<string, number>();
  const identityHeaders: Record<string, string> = {
    "coltsfootdeal-account": config.identity.account,
    "coltsfootdeal-caller": config.identity.caller,
  };
  const { token } = config.identity;
  if (token !== undefined) {
    identityHeaders["authorization"] = `Bearer ${token}`;
  }

  /** Nodes in order of preference; recently unavailable ones come last. */
  function nodesByPreference(): readonly string[] {
    const now = performance.now();
    const avoided = (node: string) => (avoidUntil.get(node) ?? 0) > now;
    return [
      ...config.nodes.filter((node) => !avoided(node)),
      ...config.nodes.filter(avoided),
    ];
  }

  /** Moves a node to the end of the order and discards its tickets. */
  function avoidNode(node: string): void {
    avoidUntil.set(node, performance.now() + NODE_AVOIDANCE_MS);
    const kept = tickets.filter((ticket) => ticket.node !== node);
    tickets.splice(0, tickets.length, ...kept);
  }

  /** Fetches tickets into the cache; false if the node issued none. */
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
      const fetchedAt = performance.now();
      const texts = body.tickets ?? [];
      tickets.push(...texts.map((text) => ({ text, node, fetchedAt })));
      return texts.length > 0;
    } catch {
      return false;
    }
  }

  /** Returns a cached ticket, or one from the first node that issues any. */
  async function takeTicket(): Promise<CachedTicket | undefined> {
    const now = performance.now();
    while (tickets.length > 0) {
      const ticket = tickets.shift();
      if (ticket && now - ticket.fetchedAt < ticketUseMs) return ticket;
    }
    for (const node of nodesByPreference()) {
      if (await fetchTickets(node)) return tickets.shift();
    }
    return undefined;
  }

  function requestHeaders(call: ClientCall, options: AttemptOptions) {
    return {
      ...identityHeaders,
      "content-type": call.contentType ?? "application/octet-stream",
      "coltsfootdeal-deadline-ms": String(Math.ceil(options.deadlineMs)),
      "coltsfootdeal-attempt": String(options.attempt),
      "coltsfootdeal-request": options.requestId,
      ...(options.ticket ? { "coltsfootdeal-ticket": options.ticket } : {}),
    };
  }

  /** Sends one request; any error but a failed connect gives `unknown`. */
  async function sendAttempt(
    call: ClientCall,
    options: AttemptOptions,
  ): Promise<AttemptResult> {
    const timeout = AbortSignal.timeout(Math.ceil(options.deadlineMs));
    const signal = call.signal
      ? AbortSignal.any([call.signal, timeout])
      : timeout;
    try {
      const response = await agent.request({
        origin: `http://${options.node}`,
        path: `/v1/call/${call.service}/${call.kind}`,
        method: "POST",
        headers: requestHeaders(call, options),
        body: Buffer.from(call.body),
        signal,
      });
      const body = Buffer.from(await response.body.arrayBuffer());
      const { statusCode, headers } = response;
      return {
        kind: "outcome",
        outcome: parseOutcome(statusCode, headers, body),
      };
    } catch (error) {
      if (CONNECT_ERRORS.has(errorCode(error))) return { kind: "unreachable" };
      const reason = timeout.aborted
        ? "deadline"
        : signal.aborted
        ? "cancelled"
        : "connection_lost";
      return { kind: "outcome", outcome: unknownOutcome(reason) };
    }
  }

  /** Reads the outcome from the headers and the body of a response. */
  function parseOutcome(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
    body: Buffer,
  ): ClientOutcome {
    const reason = firstValue(headers["coltsfootdeal-reason"]) ?? "";
    switch (firstValue(headers["coltsfootdeal-outcome"])) {
      case "answered": {
        const contentType = firstValue(headers["content-type"]);
        return { kind: "answered", status, contentType, body };
      }
      case "refused": {
        const retryAfter = firstValue(headers["coltsfootdeal-retry-after-ms"]);
        return {
          kind: "refused",
          reason,
          retryAfterMs: Number(retryAfter ?? 0),
        };
      }
      case "failed":
        return { kind: "failed", body };
      default:
        return unknownOutcome(reason || "connection_lost");
    }
  }

  /**
   * Sends a call without a ticket. Tries the next node only if the call was
   * certainly not run: no connection, or a refusal because the node is leaving
   * or not ready.
   */
  async function sendWithFailover(
    call: ClientCall,
    requestId: string,
  ): Promise<ClientOutcome> {
    const startedAt = performance.now();
    for (const node of nodesByPreference()) {
      const deadlineMs = call.deadlineMs - (performance.now() - startedAt);
      if (deadlineMs <= 0) return refusedOutcome("deadline");
      const result = await sendAttempt(call, {
        node,
        deadlineMs,
        attempt: 1,
        requestId,
      });
      if (result.kind === "unreachable") {
        avoidNode(node);
        continue;
      }
      const { outcome } = result;
      const nodeUnavailable = outcome.kind === "refused" &&
        (outcome.reason === "leaving" || outcome.reason === "not_ready");
      if (!nodeUnavailable) return outcome;
      avoidNode(node);
    }
    return refusedOutcome("unreachable");
  }

  /**
   * Sends a call with a ticket. Takes another ticket only if the call was
   * certainly not run: no connection, or a refusal because the node is leaving.
   */
  async function sendWithTicket(
    call: ClientCall,
    requestId: string,
    options: { readonly onTicketTaken: (ticket: CachedTicket) => void },
  ): Promise<ClientOutcome> {
    for (
      let ticketsTried = 0;
      ticketsTried <= config.nodes.length;
      ticketsTried++
    ) {
      const ticket = await takeTicket();
      if (ticket === undefined) return refusedOutcome("ticket_exhausted");
      options.onTicketTaken(ticket);
      const result = await sendAttempt(call, {
        node: ticket.node,
        deadlineMs: call.deadlineMs,
        attempt: 1,
        ticket: ticket.text,
        requestId,
      });
      if (result.kind === "outcome") {
        const { outcome } = result;
        const leaving = outcome.kind === "refused" &&
          outcome.reason === "leaving";
        if (!leaving) return outcome;
      }
      // Either the ticket did not reach the node that issued it, or that node
      // refused the call without running it. A new ticket cannot cause a
      // second run.
      avoidNode(ticket.node);
    }
    return refusedOutcome("unreachable");
  }

  function begin(call: ClientCall): PendingCall {
    const requestId = randomUUID();
    let lastTicket: CachedTicket | undefined;
    let attempt = 1;
    const onTicketTaken = (ticket: CachedTicket) => {
      lastTicket = ticket;
    };
    const outcome = call.once
      ? sendWithTicket(call, requestId, { onTicketTaken })
      : sendWithFailover(call, requestId);

    async function resume(deadlineMs: number): Promise<ClientOutcome> {
      if (lastTicket === undefined) return unknownOutcome("ticket_home_gone");
      attempt++;
      const { node, text: ticket } = lastTicket;
      const options = { node, deadlineMs, attempt, ticket, requestId };
      const result = await sendAttempt(call, options);
      // Only the node that issued the ticket knows whether the call was run,
      // and it is unreachable.
      return result.kind === "outcome"
        ? result.outcome
        : unknownOutcome("ticket_home_gone");
    }

    return { outcome, resume };
  }

  return {
    call: (call) => begin(call).outcome,
    begin,
    close: () => agent.destroy(),
  };
}
