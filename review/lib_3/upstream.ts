/**
 * Stand-in of a backend server. The query of a request says how long the work
 * takes (`ms`), how long the body of the answer is (`bytes`), for how long it is
 * written (`spread`) and whether the request crashes the server (`crash`).
 */

import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { Record } from "./record.ts";

/** A run of a request, from its beginning to its end. */
export interface Run {
  readonly requestId: string;
  readonly startedAt: number;
  end: "running" | "answered" | "dropped" | "late" | "crashed";
}

/** A backend server that behaves as the platform's pages say. */
export interface Upstream {
  readonly id: string;
  readonly runs: readonly Run[];
  readonly close: () => void;
}

/** Parts in which a body is written that takes time to write. */
const BODY_PARTS = 20;
/** Time after which a crashed server is back. */
const RESTART_MS = 2_000;

/** What tells a backend server from the others. */
export interface UpstreamConfig {
  readonly id: string;
  readonly host: string;
  readonly port: number;
  readonly record: Record;
  /** Writes the server's entry; called when it is back after a crash. */
  readonly register: () => void;
}

/** The body of an answer: the request's id, repeated. */
export function bodyOf(requestId: string, bytes: number): Buffer {
  return Buffer.alloc(bytes, `${requestId} `);
}

async function readAll(request: IncomingMessage): Promise<boolean> {
  try {
    for await (const _ of request);
    return request.complete;
  } catch {
    return false;
  }
}

/** Starts a backend server. */
export async function startUpstream(
  { id, host, port, record, register }: UpstreamConfig,
): Promise<Upstream> {
  const runs: Run[] = [];
  let isClosed = false;

  /** Resets all connections and refuses new ones until the restart. */
  function crash(): void {
    record(`upstream ${id} crashes`);
    for (const run of runs) if (run.end === "running") run.end = "crashed";
    stop();
    setTimeout(() => {
      if (isClosed) return;
      record(`upstream ${id} is back`);
      server.listen(port, host, register);
    }, RESTART_MS);
  }

  function stop(): void {
    server.close();
    server.closeAllConnections();
  }

  /** Writes a body in equal parts. */
  function writeSlowly(
    response: ServerResponse,
    body: Buffer,
    spreadMs: number,
  ): void {
    const partBytes = Math.ceil(body.length / BODY_PARTS);
    for (let part = 0; part < BODY_PARTS; part++) {
      const bytes = body.subarray(part * partBytes, (part + 1) * partBytes);
      setTimeout(() => {
        if (response.destroyed) return;
        response.write(bytes);
        if (part === BODY_PARTS - 1) response.end();
      }, part * spreadMs / (BODY_PARTS - 1));
    }
  }

  const server = createServer(async (request, response) => {
    if (!await readAll(request)) return;
    const requestId = String(request.headers["x-request-id"] ?? "");
    const expected = request.headers["x-expected-instance"];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { "x-instance-id": id }).end();
      return;
    }
    const { searchParams } = new URL(request.url ?? "/", "http://upstream");
    const workMs = Number(searchParams.get("ms") ?? "20");
    const bytes = Number(searchParams.get("bytes") ?? "600");
    const deadlineMs = Number(request.headers["x-request-deadline"] ?? "60000");
    const run: Run = { requestId, startedAt: Date.now(), end: "running" };
    runs.push(run);
    record(`upstream ${id} begins ${requestId}, ${deadlineMs} ms left`);
    if (searchParams.has("crash")) return crash();
    const spreadMs = Number(searchParams.get("spread") ?? "0");
    const isLate = workMs > deadlineMs;
    const timer = setTimeout(() => {
      run.end = isLate ? "late" : "answered";
      record(`upstream ${id} ends ${requestId}: ${run.end}`);
      const body = isLate ? Buffer.alloc(0) : bodyOf(requestId, bytes);
      response.writeHead(isLate ? 504 : 200, {
        "x-request-id": requestId,
        "x-response-signature": `sig.${requestId}`,
        "content-length": body.length,
      });
      if (spreadMs > 0 && !isLate) writeSlowly(response, body, spreadMs);
      else response.end(body);
    }, Math.min(workMs, deadlineMs));
    response.on("close", () => {
      if (run.end !== "running") return;
      clearTimeout(timer);
      run.end = "dropped";
      record(`upstream ${id} drops ${requestId}: its connection closed`);
    });
  });
  server.keepAliveTimeout = 10_000;
  await new Promise<void>((resolve) => server.listen(port, host, resolve));
  return {
    id,
    runs,
    close: () => {
      isClosed = true;
      stop();
    },
  };
}
