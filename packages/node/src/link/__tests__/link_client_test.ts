import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { Duplex } from "node:stream";
import { createSystemClock } from "@coltsfootdeal/kernel";
import { afterEach, beforeEach, expect, test } from "vitest";
import {
  LINK_IDLE_PING_PERIOD_MS,
  LINK_PING_PERIOD_MS,
  LINK_SILENCE_TIMEOUT_MS,
} from "../../constants.ts";
import { createFrameReader } from "../frame_reader.ts";
import { writeFrame } from "../frame_writer.ts";
import { createLinkClient, type LinkClient } from "../link_client.ts";
import { LINK_PROTOCOL } from "../link_server.ts";
import { encodeFrame, type LinkMessage } from "../messages.ts";

/** A peer that accepts links and never replies to calls. */
let server: Server;
/** Kinds of the messages that the peer received. */
let received: LinkMessage["kind"][] = [];
/** Whether the peer answers pings. */
let answersPings = true;
let client: LinkClient;
const sockets: Duplex[] = [];

beforeEach(async () => {
  received = [];
  answersPings = true;
  server = createServer();
  server.on("upgrade", (_request, socket: Duplex) => {
    sockets.push(socket);
    socket.write(
      "HTTP/1.1 101 Switching Protocols\r\n" +
        `Connection: Upgrade\r\nUpgrade: ${LINK_PROTOCOL}\r\n\r\n`,
    );
    const reader = createFrameReader();
    socket.on("data", (bytes: Buffer) => {
      for (const message of reader.read(bytes)._unsafeUnwrap()) {
        received.push(message.kind);
        const isAnswered = answersPings && message.kind === "ping";
        if (isAnswered) writeFrame(socket, encodeFrame({ kind: "pong" }));
      }
    });
    socket.on("error", () => {});
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  client = createLinkClient(createSystemClock());
});

afterEach(() => {
  client.close();
  for (const socket of sockets.splice(0)) socket.destroy();
  server.close();
});

function send(signal = new AbortController().signal) {
  const { port } = server.address() as AddressInfo;
  return client.send(`127.0.0.1:${port}`, {
    service: "seals",
    remainingMs: 10_000,
    version: "",
    call: {
      id: "call-1",
      requestId: "request-1",
      kind: "check",
      level: 1,
      weight: 1,
      account: "",
      caller: "portal",
      retryAllowance: 1,
      exclusive: false,
      remembered: undefined,
      payload: {
        method: "GET",
        path: "/",
        headers: {},
        body: Buffer.alloc(0),
      },
    },
  }, signal);
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

test("pings a link often while a call is pending and rarely while idle", async () => {
  const abort = new AbortController();
  const pending = send(abort.signal);
  await sleep(LINK_PING_PERIOD_MS * 4);
  expect(received.filter((kind) => kind === "ping").length)
    .toBeGreaterThanOrEqual(2);
  abort.abort();
  expect((await pending).kind).toBe("aborted");
  received = [];
  const idleMs = LINK_PING_PERIOD_MS * 5;
  await sleep(idleMs);
  const maxPings = Math.ceil(idleMs / LINK_IDLE_PING_PERIOD_MS);
  expect(received.length).toBeLessThanOrEqual(maxPings);
});

// The silence is measured from the first unanswered message. Measured from the
// last received data, a call on a long idle link would be lost at once.
test("a call on a link that went silent while idle is lost after the timeout", async () => {
  const firstAbort = new AbortController();
  const firstCall = send(firstAbort.signal);
  await sleep(LINK_PING_PERIOD_MS);
  firstAbort.abort();
  await firstCall;
  await sleep(LINK_SILENCE_TIMEOUT_MS * 1.2);
  answersPings = false;
  const sentAt = performance.now();
  const result = await send();
  const elapsedMs = performance.now() - sentAt;
  expect(result.kind).toBe("lost");
  // Silence before the call does not count: it says nothing about the peer.
  expect(elapsedMs).toBeGreaterThan(LINK_SILENCE_TIMEOUT_MS * 0.9);
  expect(elapsedMs).toBeLessThan(
    LINK_SILENCE_TIMEOUT_MS + LINK_PING_PERIOD_MS * 2,
  );
});
