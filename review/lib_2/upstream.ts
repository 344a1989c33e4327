/**
 * A stand-in for an application server. It runs every request that names it or
 * no server, and signs its answers. The path tells how a run behaves:
 * `/ROUTE/ID?ms=TIME&bytes=SIZE` works for TIME and answers with SIZE bytes.
 */

import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";

/** A request that the server has begun to work on. */
export interface ServerRun {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly bodyBytes: number;
  readonly callerService: string;
  /** Time of the start, in ms of `performance.now()`. */
  readonly at: number;
}

/** A server under the control of a case. */
export interface Upstream {
  readonly id: string;
  readonly runs: () => readonly ServerRun[];
  /** Ids of the requests that it answered in full to the node. */
  readonly answered: () => ReadonlySet<string>;
  readonly close: () => Promise<void>;
}

function first(value: string | string[] | undefined): string {
  return (Array.isArray(value) ? value[0] : value) ?? "";
}

/** The body of an answer: the request's id, repeated up to a size. */
export function formatBody(id: string, bytes: number): Buffer {
  return Buffer.alloc(bytes, `${id}.`);
}

/** Starts a server at a loopback address. */
export async function startUpstream(options: {
  readonly id: string;
  readonly host: string;
  readonly port: number;
}): Promise<Upstream> {
  const { id } = options;
  const runs: ServerRun[] = [];
  const answered = new Set<string>();

  async function handle(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    let bodyBytes = 0;
    for await (const chunk of incoming) bodyBytes += (chunk as Buffer).length;
    const url = new URL(incoming.url ?? "/", "http://server");
    if (url.pathname === "/health") {
      response.writeHead(200, { "x-instance-id": id, "content-length": 0 });
      response.end();
      return;
    }
    const { headers } = incoming;
    const requestId = first(headers["x-request-id"]);
    const expected = first(headers["x-expected-instance"]);
    if (expected !== "" && expected !== id) {
      response.writeHead(421, { "x-instance-id": id, "content-length": 0 });
      response.end();
      return;
    }
    runs.push({
      id: requestId,
      method: incoming.method ?? "",
      path: incoming.url ?? "",
      bodyBytes,
      callerService: first(headers["x-caller-service"]),
      at: performance.now(),
    });
    const workMs = Number(url.searchParams.get("ms") ?? "20");
    await new Promise((resolve) => setTimeout(resolve, workMs));
    const body = formatBody(
      requestId,
      Number(url.searchParams.get("bytes") ?? "1500"),
    );
    response.once("finish", () => answered.add(requestId));
    response.writeHead(200, {
      "x-request-id": requestId,
      "x-response-signature": `${id}.${requestId}`,
      "content-length": body.length,
    });
    response.end(body);
  }

  const server = createServer({ keepAliveTimeout: 10_000 }, (incoming, out) => {
    handle(incoming, out).catch(() => out.destroy());
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.host, resolve);
  });
  return {
    id,
    runs: () => runs,
    answered: () => answered,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
