/** The ingress's end of links: sends calls to gates of other nodes. */

import { request } from "node:http";
import type { Socket } from "node:net";
import type { Clock, Timer } from "@coltsfootdeal/kernel";
import {
  CONNECT_TIMEOUT_MS,
  LINK_BUFFER_MAX_BYTES,
  LINK_CANCEL_TIMEOUT_MS,
  LINK_IDLE_PING_MS,
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

/** A call to send; the link adds its id. */
export type LinkCall = Omit<RunMessage, "kind" | "id">;

/** How a call on a link ended. */
export type LinkResult =
  | { readonly kind: "reply"; readonly reply: ReplyMessage }
  /** No byte of the call was sent. */
  | { readonly kind: "not_sent" }
  /** The link was lost while the call was on it. */
  | { readonly kind: "lost" }
  | { readonly kind: "aborted" };

/** Links to the gates of other nodes, by data address. */
export interface LinkClient {
  readonly send: (
    address: string,
    call: LinkCall,
    signal: AbortSignal,
  ) => Promise<LinkResult>;
  readonly close: () => void;
}

interface Link {
  readonly ready: Promise<boolean>;
  readonly pending: Map<number, (end: LinkResult) => void>;
  readonly write: (message: LinkMessage) => boolean;
  readonly keepAlive: (paused: boolean) => void;
  readonly close: () => void;
  isOpen: boolean;
}

/** Creates a client with no links. */
export function createLinkClient(clock: Clock): LinkClient {
  const peers = new Map<string, Link[]>();
  let nextId = 0;

  function forget(address: string, link: Link): void {
    const rest = (peers.get(address) ?? []).filter((other) => other !== link);
    if (rest.length > 0) peers.set(address, rest);
    else peers.delete(address);
  }

  function open(address: string): Link {
    const { host, port } = parseAddress(address);
    const pending = new Map<number, (end: LinkResult) => void>();
    const reader = createFrameReader();
    let socket: Socket | undefined;
    let heardAt = clock.now();
    /** When the peer was first sent what it has to react to. */
    let awaitedSince: number | undefined;
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
        awaitedSince ??= clock.now();
        return true;
      },
      close: () => {
        if (!link.isOpen) return;
        link.isOpen = false;
        connecting.close();
        forget(address, link);
        resolveReady(false);
        opening.destroy();
        socket?.destroy();
        for (const settle of [...pending.values()]) settle({ kind: "lost" });
      },
    };

    function handle(message: LinkMessage): void {
      if (message.kind !== "reply") return;
      pending.get(message.id)?.({ kind: "reply", reply: message });
    }

    function adopt(upgraded: Socket, head: Buffer): void {
      socket = upgraded;
      socket.setNoDelay(true);
      heardAt = clock.now();
      const receive = (bytes: Buffer) => {
        heardAt = clock.now();
        awaitedSince = undefined;
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

    /** Notices a peer that neither answers nor resets. */
    function keepAlive(paused: boolean): void {
      if (socket === undefined) return;
      const now = clock.now();
      if (paused && awaitedSince !== undefined) awaitedSince = now;
      const silentMs = now - (awaitedSince ?? now);
      if (silentMs >= LINK_SILENCE_TIMEOUT_MS) return link.close();
      // A ping is answered at once, a run only when it has ended.
      const pingMs = pending.size > 0
        ? LINK_PING_PERIOD_MS / 2
        : LINK_IDLE_PING_MS;
      if (now - heardAt >= pingMs) link.write({ kind: "ping" });
    }

    const opening = request({
      host,
      port,
      path: "/",
      headers: { connection: "Upgrade", upgrade: LINK_PROTOCOL },
    });
    opening.once("upgrade", (_response, upgraded: Socket, head: Buffer) => {
      if (link.isOpen) adopt(upgraded, head);
      else upgraded.destroy();
    });
    opening.once("response", link.close);
    opening.once("error", link.close);
    opening.end();
    const connecting: Timer = clock.after(CONNECT_TIMEOUT_MS, () => {
      if (socket === undefined) link.close();
    });
    return link;
  }

  /** The least used link to a peer; links are opened as they are needed. */
  function linkTo(address: string): Link {
    const links = peers.get(address) ?? [];
    const [first] = [...links].sort((a, b) => a.pending.size - b.pending.size);
    const idle = first !== undefined && first.pending.size === 0;
    if (first && (idle || links.length >= LINKS_PER_PEER)) return first;
    const link = open(address);
    peers.set(address, [...links, link]);
    return link;
  }

  async function send(
    address: string,
    call: LinkCall,
    signal: AbortSignal,
  ): Promise<LinkResult> {
    const link = linkTo(address);
    const sentAt = clock.now();
    if (!await link.ready) return { kind: "not_sent" };
    if (signal.aborted) return { kind: "not_sent" };
    const id = ++nextId;
    const remainingMs = Math.max(0, call.remainingMs - (clock.now() - sentAt));
    const written = link.write({ kind: "run", id, ...call, remainingMs });
    if (!written) return { kind: "not_sent" };
    return await new Promise((resolve) => {
      let cancelled: Timer | undefined;

      function settle(end: LinkResult): void {
        link.pending.delete(id);
        signal.removeEventListener("abort", abort);
        cancelled?.close();
        resolve(end);
      }

      function abort(): void {
        link.write({ kind: "cancel", id });
        // A gate that has not begun the run says so.
        cancelled = clock.after(LINK_CANCEL_TIMEOUT_MS, () => {
          settle({ kind: "aborted" });
        });
      }

      link.pending.set(id, settle);
      signal.addEventListener("abort", abort, { once: true });
    });
  }

  let triedAt = clock.now();
  const pings = clock.every(LINK_PING_PERIOD_MS, () => {
    // After a pause of this process, what the peers sent is still unread.
    const paused = clock.now() - triedAt > LINK_PING_PERIOD_MS * 2;
    triedAt = clock.now();
    for (const links of [...peers.values()]) {
      for (const link of [...links]) link.keepAlive(paused);
    }
  });

  return {
    send,
    close: () => {
      pings.close();
      for (const links of [...peers.values()]) {
        for (const link of [...links]) link.close();
      }
    },
  };
}
