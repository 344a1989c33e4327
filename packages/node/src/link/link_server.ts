/** The gate's end of links: runs calls of other nodes and replies. */

import type { IncomingMessage, Server } from "node:http";
import type { Duplex } from "node:stream";
import type { Clock } from "@coltsfootdeal/kernel";
import { refused } from "@coltsfootdeal/policy";
import {
  LINK_BUFFER_MAX_BYTES,
  LINK_IDLE_PING_MS,
  LINK_SILENCE_TIMEOUT_MS,
} from "../constants.ts";
import { createEmptyReply, type Gate, type GateReply } from "../gate/gate.ts";
import type { Log } from "../log.ts";
import { createFrameReader } from "./frame_reader.ts";
import { writeFrame } from "./frame_writer.ts";
import { encodeFrame, type LinkMessage, type RunMessage } from "./messages.ts";

/** Name of the protocol in the HTTP upgrade that opens a link. */
export const LINK_PROTOCOL = "coltsfootdeal-link";

/** Resolved configuration. */
export interface LinkServerConfig {
  readonly service: string;
  /** Id under which this instance is listed at present. */
  readonly instance: () => string;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly gate: Gate;
  /** Told the bundle version that another node has in force. */
  readonly onBundleVersion: (version: string) => void;
}

/** Takes links on a server's port. */
export interface LinkServer {
  readonly attach: (server: Server) => void;
  readonly close: () => void;
}

/** Creates a server of links. */
export function createLinkServer(config: LinkServerConfig): LinkServer {
  const { clock, gate, log } = config;
  const sockets = new Map<Duplex, () => boolean>();
  const watchdog = clock.every(LINK_SILENCE_TIMEOUT_MS, () => {
    for (const [socket, isSilent] of sockets) {
      if (isSilent()) socket.destroy();
    }
  });

  function accept(socket: Duplex): void {
    const running = new Map<number, AbortController>();
    const reader = createFrameReader();
    let heardAt = clock.now();

    function write(message: LinkMessage): void {
      if (socket.destroyed) return;
      // A peer that does not read is cut off rather than buffered for.
      if (socket.writableLength > LINK_BUFFER_MAX_BYTES) {
        socket.destroy();
        return;
      }
      writeFrame(socket, encodeFrame(message));
    }

    function reply(id: number, result: GateReply): void {
      const {
        answer,
        unusedRetries: unspent,
        slotMs,
        usualMs,
        makesNestedCalls: nested,
        death,
      } = result;
      write({
        kind: "reply",
        id,
        answer,
        unusedRetries: unspent,
        report: { ...gate.load(), slotMs, usualMs, nested },
        instance: config.instance(),
        incarnation: config.incarnation,
        death,
      });
    }

    async function run(message: RunMessage): Promise<void> {
      config.onBundleVersion(message.version);
      if (message.service !== config.service) {
        return reply(message.id, createEmptyReply(refused("no_upstream")));
      }
      const abort = new AbortController();
      running.set(message.id, abort);
      const deadlineAt = clock.now() + message.remainingMs;
      const call = { ...message.call, deadlineAt };
      const result = await gate.submit(call, abort.signal);
      running.delete(message.id);
      reply(message.id, result);
    }

    function handle(message: LinkMessage): void {
      switch (message.kind) {
        case "run":
          run(message);
          return;
        case "cancel":
          return running.get(message.id)?.abort();
        case "ping":
          return write({ kind: "pong" });
        case "reply":
        case "pong":
      }
    }

    function isSilent(): boolean {
      const idleMs = running.size > 0 ? 0 : LINK_IDLE_PING_MS;
      return clock.now() - heardAt > idleMs + LINK_SILENCE_TIMEOUT_MS * 2;
    }

    sockets.set(socket, isSilent);
    socket.on("data", (bytes) => {
      heardAt = clock.now();
      const messages = reader.read(bytes);
      if (messages.isErr()) {
        log.warn("link.malformed", { reason: messages.error });
        socket.destroy();
        return;
      }
      for (const message of messages.value) handle(message);
    });
    // A link that fails ends with `close`, where its runs are given up.
    socket.on("error", () => {});
    socket.on("close", () => {
      sockets.delete(socket);
      for (const abort of running.values()) abort.abort();
    });
  }

  return {
    attach: (server) => {
      server.on("upgrade", (request: IncomingMessage, socket: Duplex) => {
        if (request.headers.upgrade !== LINK_PROTOCOL) {
          socket.destroy();
          return;
        }
        socket.write(
          "HTTP/1.1 101 Switching Protocols\r\n" +
            `Connection: Upgrade\r\nUpgrade: ${LINK_PROTOCOL}\r\n\r\n`,
        );
        accept(socket);
      });
    },
    close: () => {
      watchdog.close();
      for (const socket of sockets.keys()) socket.destroy();
    },
  };
}
