/**
 * HTTP client whose results tell whether a failed request may have reached the
 * server.
 */

import { Buffer } from "node:buffer";
import type { Dispatcher } from "undici";
// The main module of undici also loads fetch, caches and WebSockets, which are
// not used here: 0.8 MB to parse at each start.
import buildConnector from "undici/lib/core/connect.js";
import Agent from "undici/lib/dispatcher/agent.js";
import { createByteBuffer, createSegmentPool } from "./byte_buffer.ts";
import {
  CLIENT_KEEP_ALIVE_MS,
  CONNECT_TIMEOUT_MS,
  INFORMATIONAL_ANSWERS_MAX,
  RESPONSE_BODY_MAX_BYTES,
  RESPONSE_BUFFER_MAX_BYTES,
  RESPONSE_SMALL_PIECE_BYTES,
  RESPONSE_SMALL_PIECES_MAX,
} from "./constants.ts";
import type { HeaderFields } from "./payload.ts";

/** An HTTP request with its whole body. */
export interface HttpRequest {
  /** Scheme, host and port. */
  readonly origin: string;
  /** Path and query. */
  readonly path: string;
  readonly method: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Buffer;
  readonly signal?: AbortSignal;
  /**
   * Whether the connection is closed after the response. A client that sends
   * only such requests to a server opens a connection for each of them, so none
   * is sent on one that went silent while it was idle.
   * @default false
   */
  readonly closesConnection?: boolean;
  /**
   * Returns false if the headers show that the response belongs to another
   * request. Every response is accepted by default.
   */
  readonly isMatchingResponse?: (headers: HeaderFields) => boolean;
  /**
   * Called with the headers of a matching response as soon as they have
   * arrived.
   */
  readonly onResponseHead?: (status: number, headers: HeaderFields) => void;
  /**
   * Returns true for a response after which the connection must not be used
   * again. Its body is not read.
   */
  readonly endsConnection?: (status: number, headers: HeaderFields) => boolean;
}

/** Result of a request. */
export type HttpResult =
  | {
    readonly kind: "response";
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
  }
  /** No byte of the request was sent. */
  | { readonly kind: "not_sent" }
  /** The connection was lost, or closed by a limit, before the response began. */
  | { readonly kind: "lost" }
  /**
   * The response is incomplete or beyond a limit, has no detectable end, or has
   * a status that HTTP does not define.
   */
  | { readonly kind: "truncated" }
  /** The signal was aborted. */
  | { readonly kind: "aborted" };

/** Sends requests over keep-alive connections. */
export interface HttpClient {
  readonly send: (request: HttpRequest) => Promise<HttpResult>;
  readonly close: () => Promise<void>;
}

/** Codes of errors that occur before a request is sent. */
const CONNECT_ERROR_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Range of the statuses that HTTP defines. */
const STATUS_MIN = 100;
const STATUS_MAX = 599;

function isDefinedStatus(status: number): boolean {
  return status >= STATUS_MIN && status <= STATUS_MAX;
}

function errorCode(error: unknown): string {
  const code = (error as { readonly code?: unknown } | null)?.code;
  return typeof code === "string" ? code : "";
}

function flattenHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  const flat: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined) flat[name] = String(value);
  }
  return flat;
}

/**
 * Whether the end of the body is marked. A body that ends with the connection
 * may be cut short unnoticed.
 */
function hasFramedBody(headers: Readonly<Record<string, string>>): boolean {
  return "content-length" in headers || "transfer-encoding" in headers;
}

/** Whether the `end` event of a connection is being handled at present. */
interface ConnectionEnd {
  current: boolean;
}

/**
 * Creates a connector that makes a broken connection distinguishable from a
 * closed one. For a response that closes its connection, undici takes a reset,
 * or an end inside a chunked body, for the regular end of the response. Resets
 * get another error code here, and ends are recorded in `connectionEnd`.
 */
function createConnector(connectionEnd: ConnectionEnd) {
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  const connector: buildConnector.connector = (options, callback) => {
    connect(options, (error, socket) => {
      socket?.prependListener("error", (fault: NodeJS.ErrnoException) => {
        if (fault.code === "ECONNRESET") fault.code = "ECONNABORTED";
      });
      socket?.prependListener("end", () => {
        connectionEnd.current = true;
        queueMicrotask(() => {
          connectionEnd.current = false;
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
  const connectionEnd: ConnectionEnd = { current: false };
  /** Size of the incomplete bodies of all responses, in bytes. */
  let bufferedBytes = 0;
  const pool = createSegmentPool(RESPONSE_BUFFER_MAX_BYTES);
  const agent = new Agent({
    pipelining: 1,
    connect: createConnector(connectionEnd),
    keepAliveTimeout: CLIENT_KEEP_ALIVE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  function send(request: HttpRequest): Promise<HttpResult> {
    const { signal, isMatchingResponse, endsConnection } = request;
    if (signal?.aborted) return Promise.resolve({ kind: "not_sent" });
    return new Promise((resolve) => {
      let status = 0;
      let headers: Record<string, string> | undefined;
      const responseBody = createByteBuffer(pool);
      /** Bytes of this response that `bufferedBytes` includes. */
      let receivedBytes = 0;
      let smallPieces = 0;
      let informationalAnswers = 0;
      let isSettled = false;
      let controller: Dispatcher.DispatchController | undefined;

      function abort(): void {
        controller?.abort(new Error("aborted"));
        settle({ kind: "aborted" });
      }

      function settle(result: HttpResult): void {
        signal?.removeEventListener("abort", abort);
        bufferedBytes -= receivedBytes;
        receivedBytes = 0;
        responseBody.clear();
        isSettled = true;
        resolve(result);
      }

      signal?.addEventListener("abort", abort, { once: true });
      agent.dispatch({
        origin: request.origin,
        path: request.path,
        method: request.method as Dispatcher.HttpMethod,
        headers: request.headers ?? {},
        body: request.body?.length ? request.body : null,
        ...(request.closesConnection === true ? { reset: true } : {}),
      }, {
        onRequestStart: (requestController) => {
          controller = requestController;
          if (signal?.aborted) requestController.abort(new Error("aborted"));
        },
        onResponseStart: (_controller, statusCode, head) => {
          if (!isDefinedStatus(statusCode)) {
            settle({ kind: "truncated" });
            controller?.abort(new Error(`invalid status ${statusCode}`));
            return;
          }
          if (statusCode < 200) {
            if (++informationalAnswers <= INFORMATIONAL_ANSWERS_MAX) return;
            settle({ kind: "lost" });
            controller?.abort(new Error("too many informational answers"));
            return;
          }
          status = statusCode;
          headers = flattenHeaders(head);
          if (isMatchingResponse?.(headers) === false) {
            // Closes the connection: later responses on it belong to other
            // requests too.
            controller?.abort(new Error("response to another request"));
            return;
          }
          request.onResponseHead?.(status, headers);
          if (endsConnection?.(status, headers) === true) {
            const body = Buffer.alloc(0);
            settle({ kind: "response", status, headers, body });
            controller?.abort(new Error("connection is not used again"));
          }
        },
        onResponseData: (_controller, chunk) => {
          if (isSettled) return;
          responseBody.append(chunk);
          receivedBytes += chunk.length;
          bufferedBytes += chunk.length;
          if (chunk.length < RESPONSE_SMALL_PIECE_BYTES) smallPieces++;
          if (
            smallPieces > RESPONSE_SMALL_PIECES_MAX ||
            receivedBytes > RESPONSE_BODY_MAX_BYTES ||
            bufferedBytes > RESPONSE_BUFFER_MAX_BYTES
          ) {
            settle({ kind: "truncated" });
            controller?.abort(new Error("response body exceeds a limit"));
          }
        },
        onResponseEnd: () => {
          if (headers === undefined) return settle({ kind: "lost" });
          const endIsMarked = hasFramedBody(headers);
          if (!endIsMarked) return settle({ kind: "truncated" });
          const isCutOff = connectionEnd.current &&
            "transfer-encoding" in headers;
          if (isCutOff) return settle({ kind: "truncated" });
          const body = responseBody.take();
          settle({ kind: "response", status, headers, body });
        },
        onResponseError: (_controller, error) => {
          if (signal?.aborted) return settle({ kind: "aborted" });
          if (headers !== undefined) return settle({ kind: "truncated" });
          const notSent = CONNECT_ERROR_CODES.has(errorCode(error));
          settle({ kind: notSent ? "not_sent" : "lost" });
        },
      });
    });
  }

  return { send, close: () => agent.destroy() };
}
