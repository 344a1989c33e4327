/** Servers in trouble that send bytes without end. */

import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import {
  INFORMATIONAL_ANSWERS_MAX,
  RESPONSE_SMALL_PIECES_MAX,
} from "../constants.ts";
import { createHttpClient, type HttpClient } from "../http_client.ts";

/** Deadline of a request, in ms. */
const DEADLINE_MS = 1_500;
/** Time after the deadline in which a request must have ended, in ms. */
const FINAL_ANSWER_MS = 500;
/** Memory that endless answers may take in total, in bytes. */
const MEMORY_MAX_BYTES = 128 * 1024 * 1024;
/** Requests that get an endless answer at the same time. */
const REQUESTS = 8;

const BLOCK = "x".repeat(64 * 1024);
const OK_HEAD = "HTTP/1.1 200 OK\r\n";
const CHUNKED_HEAD = `${OK_HEAD}transfer-encoding: chunked\r\n\r\n`;

/** First bytes of an answer, and those that follow again and again. */
const ANSWERS = {
  "header line": [`${OK_HEAD}x-a: `, BLOCK],
  "header fields": [OK_HEAD, `x-a: ${"x".repeat(200)}\r\n`.repeat(300)],
  "chunk extension": [`${CHUNKED_HEAD}5;a=`, BLOCK],
  "trailers": [`${CHUNKED_HEAD}0\r\n`, "x-a: 1\r\n".repeat(8_192)],
  "small chunks": [CHUNKED_HEAD, "1\r\nx\r\n".repeat(8_192)],
  "chunked body": [CHUNKED_HEAD, `10000\r\n${BLOCK}\r\n`],
  "body until the end of connection": [`${OK_HEAD}\r\n`, BLOCK],
  "body of a huge length": [`${OK_HEAD}content-length: 9e15\r\n\r\n`, BLOCK],
  "long body": [`${OK_HEAD}content-length: 9007199254740991\r\n\r\n`, BLOCK],
  "bytes after the body": [`${OK_HEAD}content-length: 2\r\n\r\nok`, BLOCK],
  "informational answers": ["", "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(500)],
  "no answer at all": ["", BLOCK],
} as const;

let server: Server;
let client: HttpClient;
let answer: readonly [first: string, rest: string] = ["", ""];
const sockets = new Set<Socket>();
/** Connections that carry an endless answer. */
const endless = new Set<Socket>();

/** Writes the rest of the answer as fast as the client reads it. */
async function writeWithoutEnd(socket: Socket): Promise<void> {
  socket.write(answer[0]);
  while (!socket.destroyed) {
    if (socket.write(answer[1])) {
      await new Promise((resolve) => setImmediate(resolve));
    } else {
      await Promise.race([once(socket, "drain"), once(socket, "close")]);
    }
  }
}

beforeEach(async () => {
  client = createHttpClient();
  server = createServer((socket) => {
    sockets.add(socket);
    socket.on("close", () => {
      sockets.delete(socket);
      endless.delete(socket);
    });
    socket.on("error", () => {});
    socket.once("data", () => {
      endless.add(socket);
      writeWithoutEnd(socket).catch(() => socket.destroy());
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
});

afterEach(async () => {
  await client.close();
  for (const socket of sockets) socket.destroy();
  server.close();
});

/** Sends a request that gets an answer with an end; returns the result's kind. */
async function ask(bytes: string): Promise<string> {
  answer = [bytes, ""];
  const { port } = server.address() as AddressInfo;
  const result = await client.send({
    origin: `http://127.0.0.1:${port}`,
    path: "/",
    method: "GET",
  });
  return result.kind;
}

for (const [name, bytes] of Object.entries(ANSWERS)) {
  test(`a request ends in time and in bounded memory: endless ${name}`, async () => {
    answer = bytes;
    const { port } = server.address() as AddressInfo;
    const before = process.memoryUsage();
    let peakBytes = 0;
    const sampler = setInterval(() => {
      const { heapUsed, arrayBuffers } = process.memoryUsage();
      const used = heapUsed + arrayBuffers;
      const usedBefore = before.heapUsed + before.arrayBuffers;
      peakBytes = Math.max(peakBytes, used - usedBefore);
    }, 20);
    const startedAt = performance.now();
    const results = await Promise.all(
      Array.from({ length: REQUESTS }, () =>
        client.send({
          origin: `http://127.0.0.1:${port}`,
          path: "/",
          method: "GET",
          signal: AbortSignal.timeout(DEADLINE_MS),
        })),
    );
    const elapsedMs = performance.now() - startedAt;
    clearInterval(sampler);
    expect(elapsedMs).toBeLessThan(DEADLINE_MS + FINAL_ANSWER_MS);
    expect(peakBytes).toBeLessThan(MEMORY_MAX_BYTES);
    for (const result of results) {
      // What follows a whole answer does not belong to it.
      if (name === "bytes after the body") {
        expect(result).toMatchObject({ kind: "response", status: 200 });
      } else {
        expect(result.kind).toMatch(/^(lost|truncated|aborted)$/);
      }
    }
    await expect.poll(() => endless.size, { timeout: 2_000 }).toBe(0);
  });
}

// Guards against answers in tiny pieces that take the processor time of others.
test.each([
  ["whole", RESPONSE_SMALL_PIECES_MAX, "response"],
  ["cut", RESPONSE_SMALL_PIECES_MAX + 1, "truncated"],
])("a body in small pieces comes %s: %i pieces", async (_how, count, kind) => {
  const chunks = "1\r\nx\r\n".repeat(count);
  expect(await ask(`${CHUNKED_HEAD}${chunks}0\r\n\r\n`)).toBe(kind);
});

test.each([
  ["whole", INFORMATIONAL_ANSWERS_MAX, "response"],
  ["cut", INFORMATIONAL_ANSWERS_MAX + 1, "lost"],
])(
  "an answer after informational ones comes %s: %i",
  async (_how, count, kind) => {
    const informational = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(count);
    const final = `${OK_HEAD}content-length: 2\r\n\r\nok`;
    expect(await ask(`${informational}${final}`)).toBe(kind);
  },
);
