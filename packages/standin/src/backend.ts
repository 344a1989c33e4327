/** A stand-in for a backend server: slots, service times, sheds, crashes. */

import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { type HttpServer, serveHttp } from "./http_server.ts";

/** A call that a backend server makes further down. */
export interface ChildCall {
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
  /** Calls run at once; more are shed. */
  readonly slots: number;
  /** Time that a call takes, in ms. */
  readonly serviceMs: number;
  /**
   * Time after the start during which calls take five times as long, in ms.
   * @default 0
   */
  readonly coldMs?: number;
  /**
   * Time from a crash to the restart, in ms.
   * @default 200
   */
  readonly restartMs?: number;
  /** Data address of the node beside it, for calls further down. */
  readonly node?: () => string;
  /** Calls further down, by kind. */
  readonly children?: Readonly<Record<string, readonly ChildCall[]>>;
}

/** What a backend server has counted. */
export interface BackendCounts {
  readonly runs: number;
  readonly sheds: number;
  readonly cancels: number;
  readonly crashes: number;
  readonly inFlight: number;
  /** Bodies that were run more than once, by body. */
  readonly runsByBody: ReadonlyMap<string, number>;
}

/** A backend server under the control of a test. */
export interface Backend {
  readonly address: string;
  readonly counts: () => BackendCounts;
  readonly setServiceMs: (serviceMs: number) => void;
  /** Makes the health page say that it is leaving. */
  readonly markLeaving: () => void;
  readonly crash: () => void;
  readonly close: () => Promise<void>;
}

/** Body text on which the stand-in crashes. */
export const POISON = "poison";
/** Body text that the stand-in answers with a failure. */
export const FAILING = "failing";
/** Body text whose answer is cut off. */
export const CUT_OFF = "cut-off";

async function readAll(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

function reply(
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
      return reply(response, leaving ? 503 : 200, { body: { leaving } });
    }
    run(request, response).catch(() => response.destroy());
  }

  async function callChildren(
    kind: string,
    request: IncomingMessage,
    body: Buffer,
  ): Promise<boolean> {
    const node = options.node?.();
    for (const child of options.children?.[kind] ?? []) {
      if (node === undefined) return false;
      const path = `/v1/call/${child.service}/${child.kind}`;
      const result = await fetch(`http://${node}${path}`, {
        method: "POST",
        headers: {
          "coltsfootdeal-account": single(request, "coltsfootdeal-account"),
          "coltsfootdeal-caller": single(request, "coltsfootdeal-caller"),
          "coltsfootdeal-deadline-ms": single(
            request,
            "coltsfootdeal-deadline-ms",
          ),
          "coltsfootdeal-parent": single(request, "coltsfootdeal-call"),
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
    const body = await readAll(request);
    if (inFlight >= options.slots) {
      counts.sheds++;
      const headers = { "x-shed": "1" };
      return reply(response, 503, { body: { shed: true }, headers });
    }
    const text = body.toString("utf8");
    counts.runs++;
    runsByBody.set(text, (runsByBody.get(text) ?? 0) + 1);
    if (text.includes(POISON)) return crash();
    inFlight++;
    try {
      await work(request, response, body);
    } finally {
      inFlight--;
    }
  }

  async function work(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
  ): Promise<void> {
    const cold = performance.now() - startedAt < (options.coldMs ?? 0);
    const finished = await sleep(cold ? serviceMs * 5 : serviceMs, response);
    if (!finished) {
      counts.cancels++;
      return;
    }
    const kind = (request.url ?? "/").slice(1);
    const done = await callChildren(kind, request, body);
    const text = body.toString("utf8");
    if (!done || text.includes(FAILING)) {
      return reply(response, 500, { body: { failed: true } });
    }
    if (text.includes(CUT_OFF)) {
      response.writeHead(200, { "content-length": 1_000 });
      response.write("short");
      setTimeout(() => response.destroy(), 5);
      return;
    }
    reply(response, 200, {
      body: { service: options.service, kind, echo: text },
    });
  }

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

function single(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] ?? "" : value ?? "";
}
