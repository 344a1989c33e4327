/** Server side of links: submits other nodes' calls to the gate and replies. */

import type { IncomingMessage, Server } from "node:http";
import type { Duplex } from "node:stream";
import type { Clock } from "@coltsfootdeal/kernel";
import { refused } from "@coltsfootdeal/policy";
import {
  LINK_BUFFER_MAX_BYTES,
  LINK_IDLE_PING_PERIOD_MS,
  LINK_SILENCE_TIMEOUT_MS,
} from "../constants.ts";
import { createEmptyReply, type Gate, type GateReply } from "../gate/gate.ts";
import type { Log } from "../log.ts";
import { createFrameReader } from "./frame_reader.ts";
import { writeFrame } from "./frame_writer.ts";
import { encodeFrame, type LinkMessage, type RunMessage } from "./messages.ts";

/** Protocol name in the HTTP upgrade request that opens a link. */
export const LINK_PROTOCOL = "coltsfootdeal-link";

/** Resolved configuration of a link server. */
export interface LinkServerConfig {
  /** Service of this node; calls for other services are refused. */
  readonly service: string;
  /** Current id of this instance in the instance list. */
  readonly instance: () => string;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly gate: Gate;
  /** Called with the `version` of each run message. */
  readonly onBundleAnnouncement: (version: string) => void;
}

/** Accepts links on an HTTP server. */
export interface LinkServer {
  /** Handles the server's upgrade requests. */
  readonly attach: (server: Server) => void;
  /** Closes all links. */
  readonly close: () => void;
}

/** Creates a server with no links. */
export function createLinkServer(config: LinkServerConfig): LinkServer {
  const { clock, gate, log } = config;
  /** Open sockets, each with a check for a peer that stopped sending. */
  const sockets = new Map<Duplex, () => boolean>();
  const watchdog = clock.every(LINK_SILENCE_TIMEOUT_MS, () => {
    for (const [socket, isSilent] of sockets) {
      if (isSilent()) socket.destroy();
    }
  });

  function accept(socket: Duplex): void {
    const runs = new Map<number, AbortController>();
    const reader = createFrameReader();
    let lastReceivedAt = clock.now();

    function write(message: LinkMessage): void {
      if (socket.destroyed) return;
      // A peer that stopped reading is disconnected, which bounds the memory
      // used for its replies.
      if (socket.writableLength > LINK_BUFFER_MAX_BYTES) {
        socket.destroy();
        return;
      }
      writeFrame(socket, encodeFrame(message));
    }

    function sendReply(id: number, reply: GateReply): void {
      const {
        answer,
        unusedRetries,
        slotMs,
        usualMs,
        makesNestedCalls,
        death,
      } = reply;
      write({
        kind: "reply",
        id,
        answer,
        unusedRetries,
        report: { ...gate.load(), slotMs, usualMs, nested: makesNestedCalls },
        instance: config.instance(),
        incarnation: config.incarnation,
        death,
        stated: gate.report(),
      });
    }

    async function runCall(message: RunMessage): Promise<void> {
      config.onBundleAnnouncement(message.version);
      if (message.service !== config.service) {
        return sendReply(message.id, createEmptyReply(refused("no_upstream")));
      }
      const abort = new AbortController();
      runs.set(message.id, abort);
      const deadlineAt = clock.now() + message.remainingMs;
      const call = { ...message.call, deadlineAt };
      const reply = await gate.submit(call, abort.signal);
      runs.delete(message.id);
      sendReply(message.id, reply);
    }

    /**
     * Handles the messages of one read. If the peer has cancelled a call in the
     * same read, this process was held up, and the call is not begun.
     */
    function handleAll(messages: readonly LinkMessage[]): void {
      const cancelled = new Set<number>();
      for (const message of messages) {
        if (message.kind === "cancel") cancelled.add(message.id);
      }
      for (const message of messages) {
        if (message.kind === "run" && cancelled.has(message.id)) {
          sendReply(message.id, createEmptyReply(refused("cancelled")));
        } else {
          handle(message);
        }
      }
    }

    function handle(message: LinkMessage): void {
      switch (message.kind) {
        case "run":
          runCall(message);
          return;
        case "cancel":
          return runs.get(message.id)?.abort();
        case "ping":
          return write({ kind: "pong" });
        case "reply":
        case "pong":
      }
    }

    /**
     * Whether the peer has sent nothing for too long. While no call runs, it
     * pings less often, so it may be silent for LINK_IDLE_PING_PERIOD_MS more.
     */
    function isSilent(): boolean {
      const pingGapMs = runs.size > 0 ? 0 : LINK_IDLE_PING_PERIOD_MS;
      return clock.now() - lastReceivedAt >
        pingGapMs + LINK_SILENCE_TIMEOUT_MS * 2;
    }

    sockets.set(socket, isSilent);
    socket.on("data", (bytes) => {
      lastReceivedAt = clock.now();
      const messages = reader.read(bytes);
      if (messages.isErr()) {
        log.warn("link.malformed", { reason: messages.error });
        socket.destroy();
        return;
      }
      handleAll(messages.value);
    });
    // Errors are followed by `close`, whose handler aborts the runs.
    socket.on("error", () => {});
    socket.on("close", () => {
      sockets.delete(socket);
      for (const abort of runs.values()) abort.abort();
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
