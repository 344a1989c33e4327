/** Routes of the data listener, which takes calls and requests for tickets. */

import type { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Catalog } from "@coltsfootdeal/bundle";
import type { Clock } from "@coltsfootdeal/kernel";
import { type Outcome, refused, unknown } from "@coltsfootdeal/policy";
import { type Context, Hono } from "hono";
import { type Answer, createEmptyAnswer } from "../answer.ts";
import { readBody } from "../body.ts";
import { TICKETS_PER_REQUEST_MAX } from "../constants.ts";
import { encodeOutcomeHeaders, HEADER, parseWholeNumber } from "../headers.ts";
import { createDisconnectSignal } from "../gone_signal.ts";
import type { BufferedRequest, Ingress } from "./ingress.ts";
import {
  authenticateCaller,
  type RequestError,
  resolvePayload,
  resolveRequest,
} from "./request.ts";
import { formatTickets, type TicketService } from "./ticketed.ts";

/** Node.js objects that the adapter provides with each request. */
export interface NodeBindings {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
}

/** A finished call, as metrics count it. */
export interface FinishedCall {
  readonly service: string;
  readonly kind: string;
  readonly outcome: Outcome;
  readonly elapsedMs: number;
}

/** Resolved configuration of the data listener. */
export interface DataApiConfig {
  /** Id under which the instance list currently names this instance. */
  readonly instance: () => string;
  readonly incarnation: string;
  readonly service: string;
  readonly clock: Clock;
  readonly catalog: () => Catalog | undefined;
  readonly ingress: Ingress;
  readonly ticketService: TicketService;
  /** Whether this instance is shutting down and takes no new calls. */
  readonly leaving: () => boolean;
  /**
   * Starts to fetch the bundle of a service that is not in the catalog; false
   * if none is announced or one is in force already.
   */
  readonly requestBundle: (service: string) => boolean;
  readonly onFinished: (finished: FinishedCall) => void;
}

type ApiContext = Context<{ Bindings: NodeBindings }>;

/** Retry-after that callers get while a service's bundle is fetched, in ms. */
const NOT_READY_RETRY_AFTER_MS = 200;

function resolveHttpStatus(answer: Answer): number {
  const { outcome } = answer;
  switch (outcome.kind) {
    case "answered":
      return answer.status ?? 200;
    case "failed":
      return 502;
    case "unknown":
      return outcome.reason === "ticket_invalid" ? 400 : 504;
    case "refused":
      return outcome.reason === "ticket_conflict" ? 409 : 503;
  }
}

function respond(
  body: Buffer | string,
  init: {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
  },
): Response {
  // `Response` rejects a body with these statuses, even an empty one.
  const empty = init.status === 204 || init.status === 304;
  const payload = typeof body === "string" ? body : new Uint8Array(body);
  return new Response(empty ? null : payload, init);
}

function refuseRequest(error: RequestError): Response {
  const headers = {
    "content-type": "application/json",
    ...encodeOutcomeHeaders(refused("invalid")),
  };
  const body = JSON.stringify({ error: error.message });
  return respond(body, { status: error.status, headers });
}

/** Creates the routes of the data listener. */
export function createDataApi(
  config: DataApiConfig,
): Hono<{ Bindings: NodeBindings }> {
  const { clock } = config;

  function identityHeaders(): Record<string, string> {
    return {
      [HEADER.instance]: config.instance(),
      [HEADER.incarnation]: config.incarnation,
    };
  }

  /** Headers that describe an answer to callers and to other nodes. */
  function answerHeaders(answer: Answer): Record<string, string> {
    const headers: Record<string, string> = {
      ...identityHeaders(),
      ...encodeOutcomeHeaders(answer.outcome),
    };
    if (answer.status !== undefined) {
      headers[HEADER.status] = String(answer.status);
    }
    if (config.leaving()) headers["connection"] = "close";
    return headers;
  }

  function toResponse(answer: Answer): Response {
    const headers = answerHeaders(answer);
    if (answer.outcome.kind === "refused" && answer.outcome.retryAfterMs > 0) {
      const seconds = Math.ceil(answer.outcome.retryAfterMs / 1_000);
      headers["retry-after"] = String(seconds);
    }
    return respond(answer.body, {
      status: resolveHttpStatus(answer),
      headers: { ...headers, ...answer.headers },
    });
  }

  async function handle(buffered: BufferedRequest): Promise<Answer> {
    const { ticket } = buffered.request;
    if (ticket !== undefined) {
      return await config.ticketService.handle(buffered, ticket);
    }
    return await config.ingress.handle(buffered);
  }

  async function handleCall(context: ApiContext): Promise<Response> {
    const startedAt = clock.now();
    const catalog = config.catalog();
    if (catalog === undefined) {
      return toResponse(createEmptyAnswer(refused("not_ready")));
    }
    const { incoming } = context.env;
    const target = {
      service: context.req.param("service") ?? "",
      kind: context.req.param("kind") ?? "",
    };
    const signal = createDisconnectSignal(
      context.env.incoming,
      context.env.outgoing,
    );
    const request = resolveRequest(incoming.headers, target, { catalog });
    if (request.isErr()) {
      const missing = request.error.status === 404;
      if (missing && config.requestBundle(target.service)) {
        return toResponse(
          createEmptyAnswer(refused("not_ready", NOT_READY_RETRY_AFTER_MS)),
        );
      }
      return refuseRequest(request.error);
    }
    // A call with a ticket may already have run on this node: the ticket
    // service decides whether it can be refused.
    if (config.leaving() && request.value.ticket === undefined) {
      return toResponse(createEmptyAnswer(refused("leaving")));
    }
    const body = await readBody(incoming, request.value.kind.bodyMaxBytes);
    if (body.isErr()) {
      const limit = request.value.kind.bodyMaxBytes;
      const message = `body: expected at most ${limit} bytes, whole`;
      return refuseRequest({ status: 413, message });
    }
    const answer = await handle({
      request: request.value,
      payload: resolvePayload(incoming.headers, target, { body: body.value }),
      signal,
    });
    config.onFinished({
      ...target,
      outcome: answer.outcome,
      elapsedMs: clock.now() - startedAt,
    });
    return toResponse(answer);
  }

  function issueTickets(context: ApiContext): Response {
    const catalog = config.catalog();
    if (config.leaving()) {
      return toResponse(createEmptyAnswer(refused("leaving")));
    }
    if (catalog === undefined) {
      return toResponse(createEmptyAnswer(refused("not_ready")));
    }
    const caller = authenticateCaller(context.env.incoming.headers, catalog);
    if (caller.isErr()) return refuseRequest(caller.error);
    const requested = parseWholeNumber(context.req.query("count")) ?? 1;
    const count = Math.min(TICKETS_PER_REQUEST_MAX, Math.max(1, requested));
    const tickets = config.ticketService.issue(caller.value, count);
    if (tickets.length === 0) {
      return toResponse(createEmptyAnswer(refused("ticket_exhausted")));
    }
    const headers = {
      ...identityHeaders(),
      "content-type": "application/json",
    };
    return respond(formatTickets(tickets), { status: 200, headers });
  }

  const app = new Hono<{ Bindings: NodeBindings }>();
  app.post("/v1/call/:service/:kind", handleCall);
  app.post("/v1/tickets", issueTickets);
  app.notFound(() =>
    refuseRequest({ status: 404, message: "path: expected /v1/call/..." })
  );
  app.onError(() => toResponse(createEmptyAnswer(unknown("connection_lost"))));
  return app;
}
