/**
 * Plain HTTP requests of callers and of the own backend server: each is a call
 * of the kind that the bundle's routes name for its host and path.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Catalog, Kind, Route } from "@coltsfootdeal/bundle";
import type { Clock } from "@coltsfootdeal/kernel";
import { drawWeighted, type Random, refused } from "@coltsfootdeal/policy";
import { type Answer, bareAnswer } from "../answer.ts";
import { readBody } from "../body.ts";
import { createGoneSignal } from "../gone_signal.ts";
import type { FinishedCall } from "../ingress/data_api.ts";
import type { Ingress } from "../ingress/ingress.ts";
import type {
  AnswerHead,
  CallerProtocol,
  PlainRequest,
  PlainRequestFault,
} from "../ports.ts";

/** A finished plain request, for logs. */
export interface FinishedRequest extends FinishedCall {
  readonly requestId: string;
  readonly version: number;
  readonly deadlineMs: number;
}

/** Resolved configuration. */
export interface PlainListenerConfig {
  /** Service whose backend server is beside this node. */
  readonly service: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly protocol: CallerProtocol;
  readonly catalog: () => Catalog | undefined;
  readonly version: () => number;
  readonly ingress: Ingress;
  readonly leaving: () => boolean;
  /** Whether the process ends too soon to answer new requests. */
  readonly ending: () => boolean;
  readonly onFinished: (finished: FinishedRequest) => void;
  readonly onFault: (requestId: string, fault: PlainRequestFault) => void;
}

/** Handles one request. */
export type PlainHandler = (
  incoming: IncomingMessage,
  outgoing: ServerResponse,
) => Promise<void>;

interface Resolved {
  readonly plain: PlainRequest;
  readonly kind: Kind;
  readonly deadlineMs: number;
}

/** Wait suggested while no bundle is in force. */
const NOT_READY_RETRY_MS = 300;

/** Shortest wait that a refused caller is told. */
const RETRY_AFTER_MIN_MS = 200;
/** By how much the wait is drawn out at random. */
const RETRY_AFTER_SPREAD = 0.5;

/** Creates the handler of plain requests. */
export function createPlainHandler(config: PlainListenerConfig): PlainHandler {
  const { clock, protocol, ingress } = config;

  function send(
    outgoing: ServerResponse,
    head: AnswerHead,
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
    const told = outcome.kind === "refused"
      ? {
        ...answer,
        outcome: { ...outcome, retryAfterMs: retryAfter(outcome) },
      }
      : answer;
    send(outgoing, protocol.encode(told, requestId), told.body);
  }

  /** Spreads the return of callers that were refused at the same time. */
  function retryAfter({ retryAfterMs }: { retryAfterMs: number }): number {
    const spread = 1 + RETRY_AFTER_SPREAD * config.random();
    return Math.max(RETRY_AFTER_MIN_MS, retryAfterMs) * spread;
  }

  function sendFault(outgoing: ServerResponse, fault: PlainRequestFault): void {
    const body = new TextEncoder().encode(
      JSON.stringify({ error: fault.message }),
    );
    const headers = { "content-type": "application/json" };
    send(outgoing, { status: fault.status, headers }, body);
  }

  function resolve(
    plain: PlainRequest,
    route: Route,
    options: { readonly catalog: Catalog },
  ): Resolved | undefined {
    const target = drawWeighted(route.targets, config.random);
    if (target === undefined) return undefined;
    const kind = options.catalog.kind(target.service, route.kind);
    if (kind === undefined) return undefined;
    const deadlineMs = Math.min(
      plain.deadlineMs ?? kind.deadlineMs,
      kind.deadlineMs,
    );
    return { plain, kind, deadlineMs };
  }

  async function run(
    { plain, kind, deadlineMs }: Resolved,
    incoming: IncomingMessage,
    options: { readonly signal: AbortSignal; readonly startedAt: number },
  ): Promise<Answer | PlainRequestFault> {
    const body = await readBody(incoming, kind.bodyMaxBytes);
    if (body.isErr()) {
      const message = body.error === "too_large"
        ? `body: expected at most ${kind.bodyMaxBytes} bytes`
        : "body: ended early";
      return { status: body.error === "too_large" ? 413 : 400, message };
    }
    if (config.ending()) return bareAnswer(refused("leaving"));
    const elapsedMs = clock.now() - options.startedAt;
    const { method, path, headers, deadlineMs: statedMs } = plain;
    return await ingress.handle({
      request: {
        requestId: plain.id,
        service: kind.service,
        kind,
        account: "",
        caller: config.service,
        deadlineMs: Math.max(0, deadlineMs - elapsedMs),
        ...(statedMs === undefined
          ? {}
          : { requestedDeadlineMs: statedMs - elapsedMs }),
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
    const signal = createGoneSignal(outgoing);
    const decoded = protocol.decode(incoming);
    if (decoded.isErr()) {
      config.onFault("", decoded.error);
      return sendFault(outgoing, decoded.error);
    }
    const plain = decoded.value;
    const catalog = config.catalog();
    if (catalog === undefined) {
      const answer = bareAnswer(refused("not_ready", NOT_READY_RETRY_MS));
      return sendAnswer(outgoing, answer, plain.id);
    }
    const path = plain.path.split("?", 1)[0] ?? plain.path;
    const route = catalog.route(plain.host, path);
    const resolved = route && resolve(plain, route, { catalog });
    if (resolved === undefined) {
      const message = `${plain.host}${path}: expected a route in the bundle`;
      const fault = { status: 404, message } as const;
      config.onFault(plain.id, fault);
      return sendFault(outgoing, fault);
    }
    const version = config.version();
    const result = await run(resolved, incoming, { signal, startedAt });
    if ("message" in result) {
      config.onFault(plain.id, result);
      return sendFault(outgoing, result);
    }
    sendAnswer(outgoing, result, plain.id);
    const { kind, deadlineMs } = resolved;
    config.onFinished({
      requestId: plain.id,
      service: kind.service,
      kind: kind.name,
      outcome: result.outcome,
      elapsedMs: clock.now() - startedAt,
      version,
      deadlineMs,
    });
  };
}
