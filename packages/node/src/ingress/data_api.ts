/** The data listener: calls from callers and from other nodes. */

import type { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Catalog } from "@coltsfootdeal/bundle";
import type { Clock } from "@coltsfootdeal/kernel";
import { type Outcome, refused, unknown } from "@coltsfootdeal/policy";
import { type Context, Hono } from "hono";
import { type Answer, bareAnswer } from "../answer.ts";
import { readBody } from "../body.ts";
import { TICKETS_PER_REQUEST_MAX } from "../constants.ts";
import { HEADER, outcomeHeaders, readWholeNumber } from "../headers.ts";
import { createGoneSignal } from "../gone_signal.ts";
import type { Ingress, WholeRequest } from "./ingress.ts";
import {
  payloadOf,
  type RequestError,
  resolveBearer,
  resolveRequest,
} from "./request.ts";
import { formatTickets, type TicketService } from "./ticketed.ts";

/** What the Node.js adapter puts beside each request. */
export interface NodeBindings {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
}

/** A finished call, for metrics. */
export interface FinishedCall {
  readonly service: string;
  readonly kind: string;
  readonly outcome: Outcome;
  readonly elapsedMs: number;
}

/** Resolved configuration of the data listener. */
export interface DataApiConfig {
  /** Id under which this instance is listed at present. */
  readonly instance: () => string;
  readonly incarnation: string;
  readonly service: string;
  readonly clock: Clock;
  readonly catalog: () => Catalog | undefined;
  readonly ingress: Ingress;
  readonly ticketService: TicketService;
  readonly leaving: () => boolean;
  /** Whether a service's bundle is known elsewhere and being fetched. */
  readonly requestBundle: (service: string) => boolean;
  readonly onFinished: (finished: FinishedCall) => void;
}

type ApiContext = Context<{ Bindings: NodeBindings }>;

/** Wait suggested while a service's bundle is fetched. */
const NOT_READY_RETRY_MS = 200;

function statusOf(answer: Answer): number {
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
  // A status without a body must be built without one.
  const empty = init.status === 204 || init.status === 304;
  const payload = typeof body === "string" ? body : new Uint8Array(body);
  return new Response(empty ? null : payload, init);
}

function refuseRequest(error: RequestError): Response {
  const headers = {
    "content-type": "application/json",
    ...outcomeHeaders(refused("invalid")),
  };
  const body = JSON.stringify({ error: error.message });
  return respond(body, { status: error.status, headers });
}

/** Creates the data listener's routes. */
export function createDataApi(
  config: DataApiConfig,
): Hono<{ Bindings: NodeBindings }> {
  const { clock } = config;

  function identity(): Record<string, string> {
    return {
      [HEADER.instance]: config.instance(),
      [HEADER.incarnation]: config.incarnation,
    };
  }

  /** What an answer says of itself, to callers and nodes alike. */
  function answerHeaders(answer: Answer): Record<string, string> {
    const headers: Record<string, string> = {
      ...identity(),
      ...outcomeHeaders(answer.outcome),
    };
    if (answer.status !== undefined) {
      headers[HEADER.status] = String(answer.status);
    }
    if (config.leaving()) headers["connection"] = "close";
    return headers;
  }

  function toCaller(answer: Answer): Response {
    const headers = answerHeaders(answer);
    if (answer.outcome.kind === "refused" && answer.outcome.retryAfterMs > 0) {
      const seconds = Math.ceil(answer.outcome.retryAfterMs / 1_000);
      headers["retry-after"] = String(seconds);
    }
    return respond(answer.body, {
      status: statusOf(answer),
      headers: { ...headers, ...answer.headers },
    });
  }

  async function run(whole: WholeRequest): Promise<Answer> {
    const { ticket } = whole.request;
    if (ticket !== undefined) {
      return await config.ticketService.handle(whole, ticket);
    }
    return await config.ingress.handle(whole);
  }

  async function call(context: ApiContext): Promise<Response> {
    const startedAt = clock.now();
    const catalog = config.catalog();
    if (catalog === undefined) {
      return toCaller(bareAnswer(refused("not_ready")));
    }
    const { incoming } = context.env;
    const target = {
      service: context.req.param("service") ?? "",
      kind: context.req.param("kind") ?? "",
    };
    const signal = createGoneSignal(context.env.outgoing);
    const request = resolveRequest(incoming.headers, target, { catalog });
    if (request.isErr()) {
      const missing = request.error.status === 404;
      if (missing && config.requestBundle(target.service)) {
        return toCaller(bareAnswer(refused("not_ready", NOT_READY_RETRY_MS)));
      }
      return refuseRequest(request.error);
    }
    // A resend with a ticket may have run here, so its refusal is not decided
    // at this point.
    if (config.leaving() && request.value.ticket === undefined) {
      return toCaller(bareAnswer(refused("leaving")));
    }
    const body = await readBody(incoming, request.value.kind.bodyMaxBytes);
    if (body.isErr()) {
      const limit = request.value.kind.bodyMaxBytes;
      const message = `body: expected at most ${limit} bytes, whole`;
      return refuseRequest({ status: 413, message });
    }
    const answer = await run({
      request: request.value,
      payload: payloadOf(incoming.headers, target, { body: body.value }),
      signal,
    });
    config.onFinished({
      ...target,
      outcome: answer.outcome,
      elapsedMs: clock.now() - startedAt,
    });
    return toCaller(answer);
  }

  function mint(context: ApiContext): Response {
    const catalog = config.catalog();
    if (config.leaving()) return toCaller(bareAnswer(refused("leaving")));
    if (catalog === undefined) {
      return toCaller(bareAnswer(refused("not_ready")));
    }
    const bearer = resolveBearer(context.env.incoming.headers, catalog);
    if (bearer.isErr()) return refuseRequest(bearer.error);
    const asked = readWholeNumber(context.req.query("count")) ?? 1;
    const count = Math.min(TICKETS_PER_REQUEST_MAX, Math.max(1, asked));
    const tickets = config.ticketService.mint(bearer.value, count);
    if (tickets.length === 0) {
      return toCaller(bareAnswer(refused("ticket_exhausted")));
    }
    const headers = { ...identity(), "content-type": "application/json" };
    return respond(formatTickets(tickets), { status: 200, headers });
  }

  const app = new Hono<{ Bindings: NodeBindings }>();
  app.post("/v1/call/:service/:kind", call);
  app.post("/v1/tickets", mint);
  app.notFound(() =>
    refuseRequest({ status: 404, message: "path: expected /v1/call/..." })
  );
  app.onError(() => toCaller(bareAnswer(unknown("connection_lost"))));
  return app;
}
