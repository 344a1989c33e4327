/** Stand-in of a client: requests on one connection, answers in their order. */

import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { connect } from "./fleet.ts";

/** An answer, or its part if the connection ended early. */
export interface ReceivedAnswer {
  readonly requestId: string;
  /** 0 if not even the headers arrived. */
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Buffer;
  readonly isComplete: boolean;
  readonly at: number;
}

/** A request as the client writes it. */
export interface ClientRequest {
  readonly requestId: string;
  readonly host: string;
  readonly path: string;
  readonly method?: "GET" | "POST";
  readonly deadlineMs: number;
  readonly body?: Buffer;
  /** Time that the client takes to send the header; 0 by default. */
  readonly headerMs?: number;
}

/** A client's connection. */
export interface ClientConnection {
  /** Writes a request; resolves with its answer. */
  readonly send: (request: ClientRequest) => Promise<ReceivedAnswer>;
  /** Limits how fast answers are read. */
  readonly readSlowly: (bytesPerS: number) => void;
  readonly close: () => void;
  readonly isClosed: () => boolean;
}

/** Bytes of a request that a client sends at once if it is slow. */
const HEADER_PART_BYTES = 30;

interface Pending {
  readonly requestId: string;
  readonly resolve: (answer: ReceivedAnswer) => void;
}

function format(request: ClientRequest): Buffer {
  const { method = "GET", path, host, requestId, deadlineMs, body } = request;
  const head = `${method} ${path} HTTP/1.1\r\nHost: ${host}\r\n` +
    `X-Request-Id: ${requestId}\r\nX-Request-Deadline: ${deadlineMs}\r\n` +
    (body === undefined ? "" : `Content-Length: ${body.length}\r\n`) + "\r\n";
  return Buffer.concat([Buffer.from(head, "latin1"), body ?? Buffer.alloc(0)]);
}

/** Decodes the first answer in `bytes`; its end is -1 if it is incomplete. */
function parse(bytes: Buffer) {
  const headEnd = bytes.indexOf("\r\n\r\n");
  const [first = "", ...lines] = bytes.subarray(0, Math.max(0, headEnd))
    .toString("latin1").split("\r\n");
  const headers = new Map(lines.map((line) => {
    const colon = line.indexOf(":");
    const name = line.slice(0, colon).toLowerCase();
    return [name, line.slice(colon + 1).trim()] as const;
  }));
  const status = headEnd < 0 ? 0 : Number(first.split(" ")[1]);
  const start = headEnd < 0 ? bytes.length : headEnd + 4;
  const length = Number(headers.get("content-length") ?? "NaN");
  const end = headEnd >= 0 && bytes.length >= start + length
    ? start + length
    : -1;
  return { status, headers, start, end };
}

/** Opens a connection to a node's caller listener. */
export async function openConnection(
  host: string,
  port: number,
): Promise<ClientConnection> {
  const socket: Socket = await connect(host, port);
  const pending: Pending[] = [];
  let received: Buffer[] = [];
  let rate = Infinity;
  let isClosed = false;

  function settle(bytes: Buffer, isComplete: boolean): void {
    const next = pending.shift();
    if (next === undefined) return;
    const { status, headers, start } = parse(bytes);
    const body = bytes.subarray(start);
    const { requestId } = next;
    const at = Date.now();
    next.resolve({ requestId, status, headers, body, isComplete, at });
  }

  function take(): void {
    for (;;) {
      const bytes = Buffer.concat(received);
      const { end } = parse(bytes);
      received = [bytes];
      if (end < 0) return;
      received = [bytes.subarray(end)];
      settle(bytes.subarray(0, end), true);
    }
  }

  function finish(): void {
    if (isClosed) return;
    isClosed = true;
    const rest = Buffer.concat(received);
    received = [];
    settle(rest, false);
    while (pending.length > 0) settle(Buffer.alloc(0), false);
  }

  socket.on("data", (bytes) => {
    received.push(bytes);
    take();
    if (rate === Infinity) return;
    socket.pause();
    setTimeout(() => socket.resume(), bytes.length / rate * 1_000);
  });
  socket.on("error", () => {});
  socket.on("end", finish);
  socket.on("close", finish);
  return {
    send: (request) =>
      new Promise((resolve) => {
        pending.push({ requestId: request.requestId, resolve });
        if (isClosed) return settle(Buffer.alloc(0), false);
        const bytes = format(request);
        const { headerMs = 0 } = request;
        const firstBytes = headerMs > 0 ? HEADER_PART_BYTES : bytes.length;
        socket.write(bytes.subarray(0, firstBytes));
        if (headerMs === 0) return;
        setTimeout(() => socket.write(bytes.subarray(firstBytes)), headerMs);
      }),
    readSlowly: (bytesPerS) => {
      rate = bytesPerS;
    },
    close: () => socket.destroy(),
    isClosed: () => isClosed,
  };
}
