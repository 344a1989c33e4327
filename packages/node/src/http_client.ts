/** HTTP requests that tell apart what was sent and what was not. */

import { Buffer } from "node:buffer";
import type { Dispatcher } from "undici";
// The package's entry also loads fetch, caches and sockets that are not used
// here: 0.8 MB to parse at each start.
import buildConnector from "undici/lib/core/connect.js";
import Agent from "undici/lib/dispatcher/agent.js";
import { CLIENT_KEEP_ALIVE_MS, CONNECT_TIMEOUT_MS } from "./constants.ts";
import type { HeaderFields } from "./payload.ts";

/** A request with a whole body. */
export interface HttpRequest {
  readonly origin: string;
  readonly path: string;
  readonly method: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Buffer;
  readonly signal?: AbortSignal;
  /** Tells a response to another request by its headers. */
  readonly isMatchingResponse?: (headers: HeaderFields) => boolean;
}

/** How a request ended. */
export type HttpResult =
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
  readonly send: (exchange: HttpRequest) => Promise<HttpResult>;
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
  headers: Readonly<Record<string, string | string[] | undefined>>,
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

/** Whether a connection's end is being handled in this turn. */
interface Ending {
  current: boolean;
}

/**
 * Connects so that a broken connection is told from a finished one. undici
 * takes the end of a connection for the end of the response where the response
 * closes it: a reset as well, and an end within a chunked body.
 */
function createConnector(ending: Ending) {
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  const connector: buildConnector.connector = (options, callback) => {
    connect(options, (error, socket) => {
      socket?.prependListener("error", (fault: NodeJS.ErrnoException) => {
        if (fault.code === "ECONNRESET") fault.code = "ECONNABORTED";
      });
      socket?.prependListener("end", () => {
        ending.current = true;
        queueMicrotask(() => {
          ending.current = false;
        });
      });
      if (error) callback(error, null);
      else if (socket) callback(null, socket);
    });
  };
  return connector;
}

/** Creates a client with no connections. */
export function createHttpClient(): HttpClient {
  const ending: Ending = { current: false };
  const agent = new Agent({
    pipelining: 1,
    connect: createConnector(ending),
    keepAliveTimeout: CLIENT_KEEP_ALIVE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  function send(exchange: HttpRequest): Promise<HttpResult> {
    const { signal, isMatchingResponse: isOwnResponse } = exchange;
    if (signal?.aborted) return Promise.resolve({ kind: "not_sent" });
    return new Promise((resolve) => {
      let status = 0;
      let headers: Record<string, string> | undefined;
      let chunks: Buffer[] = [];
      let controller: Dispatcher.DispatchController | undefined;

      function abort(): void {
        controller?.abort(new Error("aborted"));
        settle({ kind: "aborted" });
      }

      function settle(end: HttpResult): void {
        signal?.removeEventListener("abort", abort);
        resolve(end);
      }

      signal?.addEventListener("abort", abort, { once: true });
      agent.dispatch({
        origin: exchange.origin,
        path: exchange.path,
        method: exchange.method as Dispatcher.HttpMethod,
        headers: exchange.headers ?? {},
        body: exchange.body?.length ? exchange.body : null,
      }, {
        onRequestStart: (started) => {
          controller = started;
          if (signal?.aborted) started.abort(new Error("aborted"));
        },
        onResponseStart: (_controller, statusCode, head) => {
          if (statusCode < 200) return;
          status = statusCode;
          headers = flatten(head);
          if (isOwnResponse?.(headers) === false) {
            // Closes the connection: later answers on it are not its own.
            controller?.abort(new Error("answer to another request"));
          }
        },
        onResponseData: (_controller, chunk) => {
          chunks.push(chunk);
        },
        onResponseEnd: () => {
          if (headers === undefined) return settle({ kind: "lost" });
          const framed = hasFramedBody(headers);
          if (!framed) return settle({ kind: "truncated" });
          const cut = ending.current && "transfer-encoding" in headers;
          if (cut) return settle({ kind: "truncated" });
          const body = Buffer.concat(chunks);
          settle({ kind: "response", status, headers, body });
        },
        onResponseError: (_controller, error) => {
          chunks = [];
          if (signal?.aborted) return settle({ kind: "aborted" });
          if (headers !== undefined) return settle({ kind: "truncated" });
          const notSent = CONNECT_CODES.has(codeOf(error));
          settle({ kind: notSent ? "not_sent" : "lost" });
        },
      });
    });
  }

  return { send, close: () => agent.destroy() };
}
