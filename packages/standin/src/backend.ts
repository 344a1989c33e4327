/**
 * A stand-in for a backend server with a fixed number of slots. It sheds calls
 * beyond them, and crashes, fails or cuts off answers on request.
 */

import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { type HttpServer, serveHttp } from "./http_server.ts";

/** A call that a run makes to another service. */
export interface NestedCall {
  readonly service: string;
  readonly kind: string;
}

/** Options of the stand-in. */
export interface BackendOptions {
  readonly service: string;
  /**
   * Port on 127.0.0.1; 0 takes a free one.
   * @default 0
   */
  readonly port?: number;
  /** Calls that run concurrently; further ones are shed. */
  readonly slots: number;
  /** Service time of a call, in ms. */
  readonly serviceMs: number;
  /**
   * Time after a start in which service times are five times as long, in ms.
   * @default 0
   */
  readonly coldMs?: number;
  /**
   * Time from a crash to the restart, in ms.
   * @default 200
   */
  readonly restartMs?: number;
  /** Data address of the node beside it, which routes the nested calls. */
  readonly node?: () => string;
  /** Nested calls, by the kind of the call whose run makes them. */
  readonly nestedCalls?: Readonly<Record<string, readonly NestedCall[]>>;
}

/** Counters since the first start; crashes do not reset them. */
export interface BackendCounts {
  readonly runs: number;
  readonly sheds: number;
  readonly cancels: number;
  readonly crashes: number;
  readonly inFlight: number;
  /** Number of runs of each request body. */
  readonly runsByBody: ReadonlyMap<string, number>;
}

/** A backend server under the control of a test. */
export interface Backend {
  readonly address: string;
  readonly counts: () => BackendCounts;
  readonly setServiceMs: (serviceMs: number) => void;
  /** Makes the health check answer 503 with `leaving: true`. */
  readonly markLeaving: () => void;
  readonly crash: () => void;
  readonly close: () => Promise<void>;
}

/** A request body that contains this text crashes the stand-in. */
export const CRASH_MARKER = "poison";
/** A request body that contains this text is answered with status 500. */
export const FAILURE_MARKER = "failing";
/** The answer to a body that contains this text breaks off after 5 bytes. */
export const CUT_OFF_MARKER = "cut-off";

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

function sendJson(
  response: ServerResponse,
  status: number,
  options: {
    readonly body: object;
    readonly headers?: Record<string, string>;
  },
): void {
  const text = Buffer.from(JSON.stringify(options.body));
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": text.length,
    ...options.headers,
  });
  response.end(text);
}

/** Starts a backend server on loopback. */
export async function startBackend(options: BackendOptions): Promise<Backend> {
  const runsByBody = new Map<string, number>();
  const counts = { runs: 0, sheds: 0, cancels: 0, crashes: 0 };
  let serviceMs = options.serviceMs;
  let inFlight = 0;
  let leaving = false;
  let startedAt = performance.now();
  let closed = false;
  let server: HttpServer | undefined = await serveHttp(
    handle,
    options.port ?? 0,
  );
  const { address, port } = server;

  function handle(request: IncomingMessage, response: ServerResponse): void {
    if (request.method === "GET") {
      return sendJson(response, leaving ? 503 : 200, { body: { leaving } });
    }
    run(request, response).catch(() => response.destroy());
  }

  /** Sends the nested calls of a kind; true if all of them succeeded. */
  async function sendNestedCalls(
    kind: string,
    request: IncomingMessage,
    body: Buffer,
  ): Promise<boolean> {
    const node = options.node?.();
    for (const nestedCall of options.nestedCalls?.[kind] ?? []) {
      if (node === undefined) return false;
      const path = `/v1/call/${nestedCall.service}/${nestedCall.kind}`;
      const result = await fetch(`http://${node}${path}`, {
        method: "POST",
        headers: {
          "coltsfootdeal-account": firstHeaderValue(
            request,
            "coltsfootdeal-account",
          ),
          "coltsfootdeal-caller": firstHeaderValue(
            request,
            "coltsfootdeal-caller",
          ),
          "coltsfootdeal-deadline-ms": firstHeaderValue(
            request,
            "coltsfootdeal-deadline-ms",
          ),
          "coltsfootdeal-parent": firstHeaderValue(
            request,
            "coltsfootdeal-call",
          ),
        },
        body: new Uint8Array(body),
      });
      await result.arrayBuffer();
      if (!result.ok) return false;
    }
    return true;
  }

  async function run(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request);
    if (inFlight >= options.slots) {
      counts.sheds++;
      const headers = { "x-shed": "1" };
      return sendJson(response, 503, { body: { shed: true }, headers });
    }
    const text = body.toString("utf8");
    counts.runs++;
    runsByBody.set(text, (runsByBody.get(text) ?? 0) + 1);
    if (text.includes(CRASH_MARKER)) return crash();
    inFlight++;
    try {
      await execute(request, response, body);
    } finally {
      inFlight--;
    }
  }

  async function execute(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
  ): Promise<void> {
    const isCold = performance.now() - startedAt < (options.coldMs ?? 0);
    const finished = await sleep(isCold ? serviceMs * 5 : serviceMs, response);
    if (!finished) {
      counts.cancels++;
      return;
    }
    const kind = (request.url ?? "/").slice(1);
    const nestedCallsSucceeded = await sendNestedCalls(kind, request, body);
    const text = body.toString("utf8");
    if (!nestedCallsSucceeded || text.includes(FAILURE_MARKER)) {
      return sendJson(response, 500, { body: { failed: true } });
    }
    if (text.includes(CUT_OFF_MARKER)) {
      response.writeHead(200, { "content-length": 1_000 });
      response.write("short");
      setTimeout(() => response.destroy(), 5);
      return;
    }
    sendJson(response, 200, {
      body: { service: options.service, kind, echo: text },
    });
  }

  /** Resolves with true after the time, with false if the caller disconnects. */
  function sleep(timeMs: number, response: ServerResponse): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => resolve(true), timeMs);
      response.once("close", () => {
        clearTimeout(timer);
        resolve(false);
      });
    });
  }

  function crash(): void {
    counts.crashes++;
    const crashed = server;
    server = undefined;
    crashed?.close();
    setTimeout(restart, options.restartMs ?? 200);
  }

  async function restart(): Promise<void> {
    if (closed) return;
    startedAt = performance.now();
    server = await serveHttp(handle, port);
  }

  return {
    address,
    counts: () => ({ ...counts, inFlight, runsByBody }),
    setServiceMs: (next) => {
      serviceMs = next;
    },
    markLeaving: () => {
      leaving = true;
    },
    crash,
    close: async () => {
      closed = true;
      await server?.close();
    },
  };
}

function firstHeaderValue(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] ?? "" : value ?? "";
}
