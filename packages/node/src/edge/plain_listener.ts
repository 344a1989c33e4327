/**
 * Handler of HTTP requests from callers and from the backend server beside this
 * node. The bundle's routes map the host and path of a request to a service and
 * a kind of call.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallKind, Catalog, Route } from "@coltsfootdeal/bundle";
import type { Clock } from "@coltsfootdeal/kernel";
import { drawWeighted, type Random, refused } from "@coltsfootdeal/policy";
import { type Answer, createEmptyAnswer } from "../answer.ts";
import { readBody } from "../body.ts";
import { createDisconnectSignal, waitForNextRead } from "../gone_signal.ts";
import type { FinishedCall } from "../ingress/data_api.ts";
import type { Ingress } from "../ingress/ingress.ts";
import type {
  CallerProtocol,
  IncomingRequest,
  IncomingRequestFault,
  ResponseHead,
} from "../ports.ts";

/** A finished request, for logs and metrics. */
export interface FinishedRequest extends FinishedCall {
  readonly requestId: string;
  /** Bundle version in force when the request arrived; 0 if none. */
  readonly version: number;
  /** Time for the call, in ms: the kind's, or the caller's if shorter. */
  readonly deadlineMs: number;
}

/** Resolved configuration of the handler. */
export interface CallerHandlerConfig {
  /** Service of the backend server beside this node, sent as the caller. */
  readonly service: string;
  readonly clock: Clock;
  readonly random: Random;
  /** Encoding of requests and responses on this platform. */
  readonly protocol: CallerProtocol;
  /** Catalog of the bundle in force; undefined if none is. */
  readonly catalog: () => Catalog | undefined;
  /** Bundle version in force; 0 if none is. */
  readonly version: () => number;
  readonly ingress: Ingress;
  /** Whether the node is leaving: connections are closed after a response. */
  readonly leaving: () => boolean;
  /** Whether the node will stop before it could answer new calls. */
  readonly refusesNewCalls: () => boolean;
  /**
   * Time by which new calls must have ended, as this node stops; undefined
   * while it does not.
   */
  readonly latestDeadlineAt: () => number | undefined;
  readonly onFinished: (finished: FinishedRequest) => void;
  /** Called for an invalid request, with an empty id if it can't be decoded. */
  readonly onFault: (requestId: string, fault: IncomingRequestFault) => void;
}

/** Handles one request; resolves when the response is written. */
export type CallerHandler = (
  incoming: IncomingMessage,
  outgoing: ServerResponse,
) => Promise<void>;

/** A request with the kind of call that its route names. */
interface RoutedRequest {
  readonly request: IncomingRequest;
  readonly kind: CallKind;
  /** Time for the call, in ms: the kind's, or the caller's if shorter. */
  readonly deadlineMs: number;
}

/** Retry delay in a refusal while no bundle is in force. */
const NOT_READY_RETRY_MS = 300;

/** Shortest retry delay in a refusal, before the random extension. */
const RETRY_AFTER_MIN_MS = 200;
/** Largest random extension of the retry delay, as a share of it. */
const RETRY_AFTER_JITTER = 0.5;

/** Creates the handler of callers' HTTP requests. */
export function createCallerHandler(
  config: CallerHandlerConfig,
): CallerHandler {
  const { clock, protocol, ingress } = config;

  function send(
    outgoing: ServerResponse,
    head: ResponseHead,
    body: Uint8Array,
  ): void {
    if (outgoing.destroyed) return;
    const headers: Record<string, string> = { ...head.headers };
    headers["content-length"] = String(body.length);
    if (config.leaving()) headers["connection"] = "close";
    outgoing.writeHead(head.status, headers);
    outgoing.end(body);
  }

  function sendAnswer(
    outgoing: ServerResponse,
    answer: Answer,
    requestId: string,
  ): void {
    const { outcome } = answer;
    const sentAnswer = outcome.kind === "refused"
      ? {
        ...answer,
        outcome: { ...outcome, retryAfterMs: addJitter(outcome) },
      }
      : answer;
    send(outgoing, protocol.encode(sentAnswer, requestId), sentAnswer.body);
  }

  /**
   * Extends a retry delay at random, so that callers that were refused together
   * do not retry together.
   */
  function addJitter({ retryAfterMs }: { retryAfterMs: number }): number {
    const factor = 1 + RETRY_AFTER_JITTER * config.random();
    return Math.max(RETRY_AFTER_MIN_MS, retryAfterMs) * factor;
  }

  function sendFault(
    outgoing: ServerResponse,
    fault: IncomingRequestFault,
  ): void {
    const body = new TextEncoder().encode(
      JSON.stringify({ error: fault.message }),
    );
    const headers = { "content-type": "application/json" };
    send(outgoing, { status: fault.status, headers }, body);
  }

  /**
   * Draws one of the route's targets at random by weight; undefined if the
   * bundle has no such kind.
   */
  function resolveRoute(
    request: IncomingRequest,
    route: Route,
    options: { readonly catalog: Catalog },
  ): RoutedRequest | undefined {
    const target = drawWeighted(route.targets, config.random);
    if (target === undefined) return undefined;
    const kind = options.catalog.kind(target.service, route.kind);
    if (kind === undefined) return undefined;
    const latestAt = config.latestDeadlineAt() ?? Infinity;
    const deadlineMs = Math.min(
      request.deadlineMs ?? kind.deadlineMs,
      kind.deadlineMs,
      Math.max(0, latestAt - clock.now()),
    );
    return { request, kind, deadlineMs };
  }

  async function run(
    { request, kind, deadlineMs }: RoutedRequest,
    incoming: IncomingMessage,
    options: { readonly signal: AbortSignal; readonly startedAt: number },
  ): Promise<Answer | IncomingRequestFault> {
    const body = await readBody(incoming, kind.bodyMaxBytes);
    if (body.isErr()) {
      const message = body.error === "too_large"
        ? `body: expected at most ${kind.bodyMaxBytes} bytes`
        : "body: ended early";
      return { status: body.error === "too_large" ? 413 : 400, message };
    }
    if (config.refusesNewCalls()) return createEmptyAnswer(refused("leaving"));
    await waitForNextRead();
    if (options.signal.aborted) return createEmptyAnswer(refused("cancelled"));
    const elapsedMs = clock.now() - options.startedAt;
    const { method, path, headers, deadlineMs: requestedMs } = request;
    return await ingress.handle({
      request: {
        requestId: request.id,
        service: kind.service,
        kind,
        account: "",
        caller: config.service,
        deadlineMs: Math.max(0, deadlineMs - elapsedMs),
        ...(requestedMs === undefined
          ? {}
          : { requestedDeadlineMs: requestedMs - elapsedMs }),
        ticket: undefined,
        parentRunId: undefined,
        resend: false,
        authorization: "",
      },
      payload: { method, path, headers, body: body.value },
      signal: options.signal,
    });
  }

  return async (incoming, outgoing) => {
    const startedAt = clock.now();
    const signal = createDisconnectSignal(incoming, outgoing);
    const decoded = protocol.decode(incoming);
    if (decoded.isErr()) {
      config.onFault("", decoded.error);
      return sendFault(outgoing, decoded.error);
    }
    const request = decoded.value;
    const catalog = config.catalog();
    if (catalog === undefined) {
      const answer = createEmptyAnswer(
        refused("not_ready", NOT_READY_RETRY_MS),
      );
      return sendAnswer(outgoing, answer, request.id);
    }
    const path = request.path.split("?", 1)[0] ?? request.path;
    const route = catalog.route(request.host, path);
    const routed = route && resolveRoute(request, route, { catalog });
    if (routed === undefined) {
      const message = `${request.host}${path}: expected a route in the bundle`;
      const fault = { status: 404, message } as const;
      config.onFault(request.id, fault);
      return sendFault(outgoing, fault);
    }
    const version = config.version();
    const result = await run(routed, incoming, { signal, startedAt });
    if ("message" in result) {
      config.onFault(request.id, result);
      return sendFault(outgoing, result);
    }
    sendAnswer(outgoing, result, request.id);
    const { kind, deadlineMs } = routed;
    config.onFinished({
      requestId: request.id,
      service: kind.service,
      kind: kind.name,
      outcome: result.outcome,
      elapsedMs: clock.now() - startedAt,
      version,
      deadlineMs,
    });
  };
}
