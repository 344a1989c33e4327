/** Servers that stop within an answer and close the connection. */

import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { createHttpClient, type HttpClient } from "../http_client.ts";

/** Whole answers, with the body that they hold. */
const ANSWERS = {
  "a length": [
    "HTTP/1.1 200 OK\r\nx-a: b\r\ncontent-length: 4\r\n\r\nbody",
    "body",
  ],
  "a length and the end of connection": [
    "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 4\r\n\r\nbody",
    "body",
  ],
  "chunks": [
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" +
    "4\r\nbody\r\n0\r\n\r\n",
    "body",
  ],
  "chunks and the end of connection": [
    "HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n" +
    "\r\n4\r\nbody\r\n0\r\n\r\n",
    "body",
  ],
  "no body": ["HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", ""],
  "an interim answer before": [
    "HTTP/1.1 103 Early Hints\r\n\r\n" +
    "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody",
    "body",
  ],
} as const;

type Ending = "end" | "reset";

let server: Server;
let client: HttpClient;
let script: { readonly text: string; readonly ending: Ending };
const sockets = new Set<Socket>();

beforeEach(async () => {
  client = createHttpClient();
  server = createServer((socket) => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
    socket.on("error", () => {});
    socket.on("data", () => {
      const { text, ending } = script;
      socket.write(text, () => {
        // The client has read the bytes before the reset discards them.
        if (ending === "end") socket.end();
        else setTimeout(() => socket.resetAndDestroy(), 5);
      });
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
});

afterEach(async () => {
  await client.close();
  for (const socket of sockets) socket.destroy();
  await new Promise((resolve) => server.close(resolve));
});

function send() {
  const { port } = server.address() as AddressInfo;
  return client.send({
    origin: `http://127.0.0.1:${port}`,
    path: "/",
    method: "GET",
    signal: AbortSignal.timeout(2_000),
  });
}

for (const [name, [text, body]] of Object.entries(ANSWERS)) {
  for (const ending of ["end", "reset"] as const) {
    test(
      `an answer with ${name} that is cut anywhere by ${ending} is not whole`,
      async () => {
        for (let length = 0; length < text.length; length++) {
          script = { text: text.slice(0, length), ending };
          const { kind } = await send();
          expect(kind, `${length} bytes`).not.toBe("response");
        }
        script = { text, ending };
        const whole = await send();
        expect(whole.kind).toBe("response");
        if (whole.kind === "response") expect(String(whole.body)).toBe(body);
      },
      30_000,
    );
  }
}

test.each(["000", "099", "600", "999"])(
  "an answer with status %s, which HTTP does not define, is not whole",
  async (status) => {
    const text = `HTTP/1.1 ${status} x\r\ncontent-length: 4\r\n\r\nbody`;
    script = { text, ending: "end" };
    expect(await send()).toEqual({ kind: "truncated" });
  },
);
