/** HTTP requests that tell apart what was sent and what was not. */

import { Buffer } from "node:buffer";
import { Agent, type Dispatcher } from "undici";
import { CLIENT_KEEP_ALIVE_MS, CONNECT_TIMEOUT_MS } from "./constants.ts";

/** A request with a whole body. */
export interface Exchange {
  readonly origin: string;
  readonly path: string;
  readonly method: "GET" | "POST";
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Buffer;
  readonly signal?: AbortSignal;
}

/** How a request ended. */
export type ExchangeEnd =
  | {
    readonly kind: "response";
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
  }
  /** No byte of the request was sent. */
  | { readonly kind: "not_sent" }
  /** The connection was lost before the response began. */
  | { readonly kind: "lost" }
  /** The response began and did not end, or its end cannot be told. */
  | { readonly kind: "truncated" }
  | { readonly kind: "aborted" };

/** Sends requests over keep-alive connections. */
export interface HttpClient {
  readonly send: (exchange: Exchange) => Promise<ExchangeEnd>;
  readonly close: () => Promise<void>;
}

const CONNECT_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

function codeOf(error: unknown): string {
  const code = (error as { readonly code?: unknown } | null)?.code;
  return typeof code === "string" ? code : "";
}

function flatten(
  headers: Dispatcher.ResponseData["headers"],
): Record<string, string> {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) flat[name] = String(value);
  }
  return flat;
}

/** A body that ends with the connection may be short without a sign of it. */
function hasFramedBody(headers: Readonly<Record<string, string>>): boolean {
  return "content-length" in headers || "transfer-encoding" in headers;
}

/** Creates a client with at most `connections` connections an origin. */
export function createHttpClient(connections?: number): HttpClient {
  const agent = new Agent({
    connections: connections ?? null,
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: CLIENT_KEEP_ALIVE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  async function send(exchange: Exchange): Promise<ExchangeEnd> {
    const { signal } = exchange;
    if (signal?.aborted) return { kind: "not_sent" };
    let response: Dispatcher.ResponseData;
    try {
      response = await agent.request({
        origin: exchange.origin,
        path: exchange.path,
        method: exchange.method,
        headers: exchange.headers ?? {},
        body: exchange.body ?? null,
        signal: signal ?? null,
      });
    } catch (error) {
      if (signal?.aborted) return { kind: "aborted" };
      const notSent = CONNECT_CODES.has(codeOf(error));
      return { kind: notSent ? "not_sent" : "lost" };
    }
    try {
      const body = Buffer.from(await response.body.arrayBuffer());
      const headers = flatten(response.headers);
      if (!hasFramedBody(headers)) return { kind: "truncated" };
      return { kind: "response", status: response.statusCode, headers, body };
    } catch {
      return { kind: signal?.aborted ? "aborted" : "truncated" };
    }
  }

  return { send, close: () => agent.destroy() };
}
