import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { Duplex } from "node:stream";
import { createSystemClock } from "@coltsfootdeal/kernel";
import { afterEach, beforeEach, expect, test } from "vitest";
import {
  LINK_IDLE_PING_MS,
  LINK_PING_PERIOD_MS,
  LINK_SILENCE_TIMEOUT_MS,
} from "../../constants.ts";
import { createFrameReader } from "../frame_reader.ts";
import { writeFrame } from "../frame_writer.ts";
import { createLinkClient, type LinkClient } from "../link_client.ts";
import { LINK_PROTOCOL } from "../link_server.ts";
import { encodeFrame, type LinkMessage } from "../messages.ts";

/** A peer that takes links, notes what it gets, and may answer pings. */
let server: Server;
let received: LinkMessage["kind"][] = [];
let answersPings = true;
let links: LinkClient;
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
        const answered = answersPings && message.kind === "ping";
        if (answered) writeFrame(socket, encodeFrame({ kind: "pong" }));
      }
    });
    socket.on("error", () => {});
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  links = createLinkClient(createSystemClock());
});

afterEach(() => {
  links.close();
  for (const socket of sockets.splice(0)) socket.destroy();
  server.close();
});

function send(signal = new AbortController().signal) {
  const { port } = server.address() as AddressInfo;
  return links.send(`127.0.0.1:${port}`, {
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

test("an idle link is rarely tried, one with a call on it all the time", async () => {
  const abort = new AbortController();
  const call = send(abort.signal);
  await sleep(LINK_PING_PERIOD_MS * 4);
  expect(received.filter((kind) => kind === "ping").length)
    .toBeGreaterThanOrEqual(2);
  abort.abort();
  expect((await call).kind).toBe("aborted");
  received = [];
  const idleMs = LINK_PING_PERIOD_MS * 5;
  await sleep(idleMs);
  const allowed = Math.ceil(idleMs / LINK_IDLE_PING_MS);
  expect(received.length).toBeLessThanOrEqual(allowed);
});

test("a call on a link that went silent while it was idle is given up in time", async () => {
  const first = new AbortController();
  const opening = send(first.signal);
  await sleep(LINK_PING_PERIOD_MS);
  first.abort();
  await opening;
  await sleep(LINK_SILENCE_TIMEOUT_MS * 1.2);
  answersPings = false;
  const sentAt = performance.now();
  const end = await send();
  const elapsedMs = performance.now() - sentAt;
  expect(end.kind).toBe("lost");
  // Silence before the call says nothing about the peer.
  expect(elapsedMs).toBeGreaterThan(LINK_SILENCE_TIMEOUT_MS * 0.9);
  expect(elapsedMs).toBeLessThan(
    LINK_SILENCE_TIMEOUT_MS + LINK_PING_PERIOD_MS * 2,
  );
});
