/** Clients that speak plain HTTP over a connection of their own. */

import { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";
import { HOST } from "./fleet.ts";

/** How a request ended. */
export interface Reply {
  readonly id: string;
  /** 0 if no status line came. */
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** Length that the answer states; undefined if none. */
  readonly statedBytes: number | undefined;
  /** Whether the whole answer came. */
  readonly isWhole: boolean;
  /** Error code, or `closed` if the node closed the connection. */
  readonly end: string;
  readonly sentAt: number;
  readonly endedAt: number;
}

/** A request to send. */
export interface ClientRequest {
  readonly id: string;
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly deadlineMs: number;
  readonly body?: Buffer;
  /**
   * Largest rate at which the answer is read, in bytes per second, and the time
   * from the start for which it applies.
   * @default unlimited
   */
  readonly slowRead?: { readonly bytesPerS: number; readonly forMs: number };
}

/** Interval at which a slow client reads. */
const READ_INTERVAL_MS = 20;

interface Parsed {
  readonly status: number;
  readonly headers: Record<string, string>;
  readonly bodyStart: number;
}

function parseHead(bytes: Buffer): Parsed | undefined {
  const end = bytes.indexOf("\r\n\r\n");
  if (end < 0) return undefined;
  const [statusLine = "", ...lines] = bytes.subarray(0, end).toString("latin1")
    .split("\r\n");
  const headers: Record<string, string> = {};
  for (const line of lines) {
    const colon = line.indexOf(":");
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
  }
  const status = Number(statusLine.split(" ")[1] ?? "0");
  return { status, headers, bodyStart: end + 4 };
}

function paceReads(
  socket: Socket,
  { bytesPerS, forMs }: { readonly bytesPerS: number; readonly forMs: number },
): void {
  const startedAt = performance.now();
  let received = 0;
  socket.on("data", (bytes) => {
    received += bytes.length;
    if (performance.now() - startedAt < forMs) socket.pause();
  });
  const timer = setInterval(() => {
    const elapsedMs = performance.now() - startedAt;
    const allowed = elapsedMs / 1_000 * bytesPerS;
    if (received < allowed || elapsedMs >= forMs) socket.resume();
  }, READ_INTERVAL_MS);
  socket.once("close", () => clearInterval(timer));
}

/** Sends one request on a new connection, which stays open after it. */
export function send(
  target: { readonly host: string; readonly port: number },
  spec: ClientRequest,
): Promise<Reply> {
  const { id, body = Buffer.alloc(0) } = spec;
  const sentAt = performance.now();
  const chunks: Buffer[] = [];
  let received = 0;
  let head: Parsed | undefined;
  let error = "";
  return new Promise((resolve) => {
    const socket = connect({ ...target, highWaterMark: 65_536 });

    function finish(end: string): void {
      clearTimeout(timer);
      const all = Buffer.concat(chunks);
      const parsed = head ?? parseHead(all);
      const length = parsed?.headers["content-length"];
      const statedBytes = length === undefined ? undefined : Number(length);
      const received = all.subarray(parsed?.bodyStart ?? 0);
      resolve({
        id,
        status: parsed?.status ?? 0,
        headers: parsed?.headers ?? {},
        body: received,
        statedBytes,
        isWhole: statedBytes !== undefined && received.length >= statedBytes,
        end,
        sentAt,
        endedAt: performance.now(),
      });
      socket.destroy();
    }

    const timer = setTimeout(() => finish("deadline"), spec.deadlineMs);
    socket.once("connect", () => {
      socket.write(
        `${spec.method} ${spec.path} HTTP/1.1\r\nHost: ${HOST}\r\n` +
          `X-Request-Id: ${id}\r\nX-Request-Deadline: ${spec.deadlineMs}\r\n` +
          (spec.method === "POST" ? `Content-Length: ${body.length}\r\n` : "") +
          "\r\n",
      );
      if (body.length > 0) socket.write(body);
    });
    if (spec.slowRead !== undefined) paceReads(socket, spec.slowRead);
    socket.on("data", (bytes) => {
      chunks.push(bytes);
      received += bytes.length;
      head ??= parseHead(chunks.length === 1 ? bytes : Buffer.concat(chunks));
      const length = Number(head?.headers["content-length"] ?? "NaN");
      if (head !== undefined && received >= head.bodyStart + length) {
        finish("answered");
      }
    });
    socket.on("error", ({ code }: NodeJS.ErrnoException) => {
      error = code ?? "error";
    });
    socket.once("close", () => finish(error || "closed"));
  });
}
