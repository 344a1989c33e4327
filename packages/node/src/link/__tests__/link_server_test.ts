import { createServer, request } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { createSystemClock } from "@coltsfootdeal/kernel";
import { refused } from "@coltsfootdeal/policy";
import { afterEach, expect, test } from "vitest";
import { createEmptyReply, type Gate, type GateCall } from "../../gate/gate.ts";
import { createSilentLog } from "../../log.ts";
import { createFrameReader } from "../frame_reader.ts";
import { createLinkServer, LINK_PROTOCOL } from "../link_server.ts";
import { encodeFrame, type LinkMessage, type RunMessage } from "../messages.ts";

const closers: (() => void)[] = [];

afterEach(() => {
  for (const close of closers.splice(0)) close();
});

/** Opens a link to a server whose gate refuses and records all calls. */
async function openLink() {
  const submitted: GateCall[] = [];
  const gate: Partial<Gate> = {
    submit: (call) => {
      submitted.push(call);
      return Promise.resolve(createEmptyReply(refused("overload")));
    },
    load: () => ({
      load: 0,
      acceptLevel: 0,
      leaving: false,
      inFlight: 0,
      queued: 0,
      limit: 1,
    }),
    report: () => undefined,
  };
  const links = createLinkServer({
    service: "seals",
    instance: () => "i-1",
    incarnation: "1-x",
    clock: createSystemClock(),
    log: createSilentLog(),
    gate: gate as Gate,
    onBundleAnnouncement: () => {},
  });
  const server = createServer();
  links.attach(server);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const socket = await new Promise<Socket>((resolve) => {
    request({
      port,
      headers: { connection: "Upgrade", upgrade: LINK_PROTOCOL },
    }).once("upgrade", (_response, upgraded: Socket) => resolve(upgraded))
      .end();
  });
  closers.push(() => {
    socket.destroy();
    links.close();
    server.close();
  });
  const reader = createFrameReader();
  const received: LinkMessage[] = [];
  socket.on("data", (bytes: Buffer) => {
    received.push(...reader.read(bytes)._unsafeUnwrap());
  });
  return { socket, submitted, received };
}

function createRun(id: number): RunMessage {
  return {
    kind: "run",
    id,
    service: "seals",
    remainingMs: 1_000,
    version: "",
    call: {
      id: `call-${id}`,
      requestId: `request-${id}`,
      kind: "check",
      level: 1,
      weight: 1,
      account: "",
      caller: "front",
      retryAllowance: 0,
      exclusive: false,
      remembered: undefined,
      payload: { method: "GET", path: "/", headers: {}, body: Buffer.alloc(0) },
    },
  };
}

test("a call that is cancelled in the same read does not reach the gate", async () => {
  const { socket, submitted, received } = await openLink();
  socket.write(Buffer.concat([
    encodeFrame(createRun(1)),
    encodeFrame(createRun(2)),
    encodeFrame({ kind: "cancel", id: 1 }),
  ]));
  await expect.poll(() => received.length).toBe(2);
  expect(submitted.map(({ id }) => id)).toEqual(["call-2"]);
  const cancelled = received.find((message) =>
    message.kind === "reply" && message.id === 1
  );
  expect(cancelled).toMatchObject({
    answer: { outcome: { kind: "refused", reason: "cancelled" } },
  });
});
