/**
 * Client side of links, the persistent connections over which the ingress sends
 * calls to the gates of other nodes.
 */

import { request } from "node:http";
import type { Socket } from "node:net";
import type { Clock, Timer } from "@coltsfootdeal/kernel";
import {
  CONNECT_TIMEOUT_MS,
  LINK_BUFFER_MAX_BYTES,
  LINK_CANCEL_TIMEOUT_MS,
  LINK_IDLE_PING_PERIOD_MS,
  LINK_PING_PERIOD_MS,
  LINK_SILENCE_TIMEOUT_MS,
  LINKS_PER_PEER,
} from "../constants.ts";
import { parseAddress } from "../settings.ts";
import { createFrameReader } from "./frame_reader.ts";
import { writeFrame } from "./frame_writer.ts";
import { LINK_PROTOCOL } from "./link_server.ts";
import {
  encodeFrame,
  type LinkMessage,
  type ReplyMessage,
  type RunMessage,
} from "./messages.ts";

/** A call to send; the link assigns the id. */
export type LinkCall = Omit<RunMessage, "kind" | "id">;

/** Result of a call on a link. */
export type LinkResult =
  | { readonly kind: "reply"; readonly reply: ReplyMessage }
  /** No byte of the call was sent. */
  | { readonly kind: "not_sent" }
  /** The link closed before the reply; the call may have run. */
  | { readonly kind: "lost" }
  /** The signal was aborted and no reply followed in time. */
  | { readonly kind: "aborted" };

/** Links to the gates of other nodes. */
export interface LinkClient {
  /** Sends a call to the gate at a data address. */
  readonly send: (
    address: string,
    call: LinkCall,
    signal: AbortSignal,
  ) => Promise<LinkResult>;
  readonly close: () => void;
}

/** One connection to the gate of another node, the peer. */
interface Link {
  /** Resolves with true once open, with false if opening failed. */
  readonly ready: Promise<boolean>;
  /** Calls without a result, by the id of their message. */
  readonly pending: Map<number, (result: LinkResult) => void>;
  /** Returns false if the message can't be written. */
  readonly write: (message: LinkMessage) => boolean;
  /**
   * Closes the link if the peer has been silent for too long, or else sends a
   * ping if one is due. Detects a peer that neither answers nor resets the
   * connection. `paused` states that this process did not run for a while.
   */
  readonly keepAlive: (paused: boolean) => void;
  /** Ends the pending calls with the result `lost`. */
  readonly close: () => void;
  /** True from the start of opening until the link is closed. */
  isOpen: boolean;
}

/** Creates a client with no links. */
export function createLinkClient(clock: Clock): LinkClient {
  /** Links by the data address of the peer. */
  const linksByAddress = new Map<string, Link[]>();
  let nextId = 0;

  function removeLink(address: string, link: Link): void {
    const rest = (linksByAddress.get(address) ?? []).filter((other) =>
      other !== link
    );
    if (rest.length > 0) linksByAddress.set(address, rest);
    else linksByAddress.delete(address);
  }

  function openLink(address: string): Link {
    const { host, port } = parseAddress(address);
    const pending = new Map<number, (result: LinkResult) => void>();
    const reader = createFrameReader();
    let socket: Socket | undefined;
    let lastReceivedAt = clock.now();
    /** Time of the first message sent since the peer last sent data. */
    let unansweredSince: number | undefined;
    let resolveReady: (opened: boolean) => void = () => {};

    const link: Link = {
      ready: new Promise((resolve) => {
        resolveReady = resolve;
      }),
      pending,
      keepAlive,
      isOpen: true,
      write: (message) => {
        if (socket === undefined || socket.destroyed) return false;
        if (socket.writableLength > LINK_BUFFER_MAX_BYTES) return false;
        writeFrame(socket, encodeFrame(message));
        unansweredSince ??= clock.now();
        return true;
      },
      close: () => {
        if (!link.isOpen) return;
        link.isOpen = false;
        connectTimer.close();
        removeLink(address, link);
        resolveReady(false);
        upgradeRequest.destroy();
        socket?.destroy();
        for (const settle of [...pending.values()]) settle({ kind: "lost" });
      },
    };

    function handle(message: LinkMessage): void {
      if (message.kind !== "reply") return;
      pending.get(message.id)?.({ kind: "reply", reply: message });
    }

    function attachSocket(upgraded: Socket, head: Buffer): void {
      socket = upgraded;
      socket.setNoDelay(true);
      lastReceivedAt = clock.now();
      const receive = (bytes: Buffer) => {
        lastReceivedAt = clock.now();
        unansweredSince = undefined;
        const messages = reader.read(bytes);
        if (messages.isErr()) return link.close();
        for (const message of messages.value) handle(message);
      };
      socket.on("data", receive);
      socket.on("error", link.close);
      socket.on("close", link.close);
      if (head.length > 0) receive(head);
      resolveReady(true);
    }

    function keepAlive(paused: boolean): void {
      if (socket === undefined) return;
      const now = clock.now();
      if (paused && unansweredSince !== undefined) unansweredSince = now;
      const silentMs = now - (unansweredSince ?? now);
      if (silentMs >= LINK_SILENCE_TIMEOUT_MS) return link.close();
      // A running call sends nothing until it ends, so each check pings the
      // peer then. Half a period allows for the time that the last pong took.
      const pingPeriodMs = pending.size > 0
        ? LINK_PING_PERIOD_MS / 2
        : LINK_IDLE_PING_PERIOD_MS;
      if (now - lastReceivedAt >= pingPeriodMs) link.write({ kind: "ping" });
    }

    const upgradeRequest = request({
      host,
      port,
      path: "/",
      headers: { connection: "Upgrade", upgrade: LINK_PROTOCOL },
    });
    upgradeRequest.once(
      "upgrade",
      (_response, upgraded: Socket, head: Buffer) => {
        if (link.isOpen) attachSocket(upgraded, head);
        else upgraded.destroy();
      },
    );
    upgradeRequest.once("response", link.close);
    upgradeRequest.once("error", link.close);
    upgradeRequest.end();
    const connectTimer: Timer = clock.after(CONNECT_TIMEOUT_MS, () => {
      if (socket === undefined) link.close();
    });
    return link;
  }

  /**
   * Returns the link to a peer with the fewest pending calls. Opens a new one
   * if none is idle and LINKS_PER_PEER is not reached.
   */
  function pickLink(address: string): Link {
    const links = linksByAddress.get(address) ?? [];
    const [leastUsed] = [...links].sort((a, b) =>
      a.pending.size - b.pending.size
    );
    const idle = leastUsed !== undefined && leastUsed.pending.size === 0;
    if (leastUsed && (idle || links.length >= LINKS_PER_PEER)) return leastUsed;
    const link = openLink(address);
    linksByAddress.set(address, [...links, link]);
    return link;
  }

  async function send(
    address: string,
    call: LinkCall,
    signal: AbortSignal,
  ): Promise<LinkResult> {
    const link = pickLink(address);
    const requestedAt = clock.now();
    if (!await link.ready) return { kind: "not_sent" };
    if (signal.aborted) return { kind: "not_sent" };
    const id = ++nextId;
    const remainingMs = Math.max(
      0,
      call.remainingMs - (clock.now() - requestedAt),
    );
    const written = link.write({ kind: "run", id, ...call, remainingMs });
    if (!written) return { kind: "not_sent" };
    return await new Promise((resolve) => {
      let cancelTimer: Timer | undefined;

      function settle(result: LinkResult): void {
        link.pending.delete(id);
        signal.removeEventListener("abort", abort);
        cancelTimer?.close();
        resolve(result);
      }

      function abort(): void {
        link.write({ kind: "cancel", id });
        // A gate that had not started the run replies with a refusal, which
        // tells that the call was not run.
        cancelTimer = clock.after(LINK_CANCEL_TIMEOUT_MS, () => {
          settle({ kind: "aborted" });
        });
      }

      link.pending.set(id, settle);
      signal.addEventListener("abort", abort, { once: true });
    });
  }

  let lastCheckAt = clock.now();
  const keepAliveTimer = clock.every(LINK_PING_PERIOD_MS, () => {
    // After a pause of this process, data from the peers may still be unread,
    // so their silence counts from now.
    const paused = clock.now() - lastCheckAt > LINK_PING_PERIOD_MS * 2;
    lastCheckAt = clock.now();
    for (const links of [...linksByAddress.values()]) {
      for (const link of [...links]) link.keepAlive(paused);
    }
  });

  return {
    send,
    close: () => {
      keepAliveTimer.close();
      for (const links of [...linksByAddress.values()]) {
        for (const link of [...links]) link.close();
      }
    },
  };
}
