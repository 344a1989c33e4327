/**
 * Tickets guarantee at most one run of a non-idempotent call. Only the
 * incarnation that issued a ticket may run it, and it remembers each presented
 * ticket until the ticket expires. The guarantee does not depend on membership.
 */

import { TICKET_TTL_MS, TICKETS_MAX } from "./constants.ts";
import type { Outcome } from "./outcome.ts";

/** Contents of a ticket. The node has verified its authenticity. */
export interface Ticket {
  /** Instance id of the home node, which issued the ticket. */
  readonly home: string;
  /** Incarnation of the home node. */
  readonly incarnation: string;
  readonly nonce: string;
  /** Expiry on the home node's monotonic clock, in ms. */
  readonly expiresAt: number;
}

/** A ticket presented with a call. */
export interface PresentedTicket {
  readonly ticket: Ticket;
  /** Digest of account, caller, service, kind and body. */
  readonly digest: string;
}

/**
 * What the node does with a presented ticket: run the call, join the run in
 * progress, return the saved answer, forward it to the home node, or refuse it.
 */
export type TicketDecision =
  | { readonly kind: "run" }
  | { readonly kind: "join" }
  | { readonly kind: "saved" }
  | { readonly kind: "conflict" }
  | { readonly kind: "expired" }
  | { readonly kind: "forward"; readonly home: string }
  | { readonly kind: "home_gone" };

/** Resolved configuration of a ticket store. */
export interface TicketStoreConfig {
  readonly instance: string;
  readonly incarnation: string;
  /**
   * Lifetime of a ticket in ms.
   * @default TICKET_TTL_MS
   */
  readonly ttlMs?: number;
  /**
   * Largest number of unexpired tickets.
   * @default TICKETS_MAX
   */
  readonly ticketsMax?: number;
  /**
   * Total size in bytes of the saved answers at which no ticket is issued.
   * @default 33554432
   */
  readonly savedBytesMax?: number;
}

/** The tickets issued by one node. */
export interface TicketStore {
  /** Issues a ticket; undefined if too many tickets or answers are held. */
  readonly issue: (nonce: string, now: number) => Ticket | undefined;
  /** Decides about a presented ticket and records its first presentation. */
  readonly present: (
    presentation: PresentedTicket,
    now: number,
  ) => TicketDecision;
  /**
   * Records the outcome of a run. After a refusal the call did not run and the
   * ticket may be presented again; any other outcome is kept until expiry.
   */
  readonly settle: (
    nonce: string,
    outcome: Outcome,
    options?: { readonly savedBytes: number },
  ) => void;
  /** Removes expired tickets whose run has ended; returns their nonces. */
  readonly expire: (now: number) => readonly string[];
  /** Whether a ticket was presented and is still remembered. */
  readonly wasPresented: (nonce: string) => boolean;
  /** Number of remembered tickets. */
  readonly size: () => number;
}

interface TicketRecord {
  readonly digest: string;
  readonly expiresAt: number;
  savedBytes: number;
  state: "running" | "settled";
}

const SAVED_BYTES_MAX = 32 * 1024 * 1024;

/** Creates an empty ticket store. */
export function createTicketStore(config: TicketStoreConfig): TicketStore {
  const ttlMs = config.ttlMs ?? TICKET_TTL_MS;
  const ticketsMax = config.ticketsMax ?? TICKETS_MAX;
  const savedBytesMax = config.savedBytesMax ?? SAVED_BYTES_MAX;
  const records = new Map<string, TicketRecord>();
  // Expiry times in order of issue, which is the order of expiry since all
  // tickets have the same lifetime.
  const issuedExpiries: number[] = [];
  let firstUnexpired = 0;
  let savedBytes = 0;

  function countUnexpired(now: number): number {
    while ((issuedExpiries[firstUnexpired] ?? Infinity) <= now) {
      firstUnexpired++;
    }
    if (firstUnexpired > 1024) {
      issuedExpiries.splice(0, firstUnexpired);
      firstUnexpired = 0;
    }
    return issuedExpiries.length - firstUnexpired;
  }

  function presentToHome({ ticket, digest }: PresentedTicket): TicketDecision {
    const record = records.get(ticket.nonce);
    if (record === undefined) {
      records.set(ticket.nonce, {
        digest,
        expiresAt: ticket.expiresAt,
        savedBytes: 0,
        state: "running",
      });
      return { kind: "run" };
    }
    if (record.digest !== digest) return { kind: "conflict" };
    return { kind: record.state === "running" ? "join" : "saved" };
  }

  function removeRecord(nonce: string): void {
    savedBytes -= records.get(nonce)?.savedBytes ?? 0;
    records.delete(nonce);
  }

  return {
    issue: (nonce, now) => {
      if (countUnexpired(now) >= ticketsMax) return undefined;
      if (savedBytes >= savedBytesMax) return undefined;
      const expiresAt = now + ttlMs;
      issuedExpiries.push(expiresAt);
      const { instance, incarnation } = config;
      return { home: instance, incarnation, nonce, expiresAt };
    },
    present: (presentation, now) => {
      const { ticket } = presentation;
      if (ticket.home !== config.instance) {
        return { kind: "forward", home: ticket.home };
      }
      if (ticket.incarnation !== config.incarnation) {
        return { kind: "home_gone" };
      }
      // A record is kept beyond its expiry while its run is in progress.
      const known = records.has(ticket.nonce);
      if (!known && ticket.expiresAt <= now) return { kind: "expired" };
      return presentToHome(presentation);
    },
    settle: (nonce, outcome, options) => {
      const record = records.get(nonce);
      if (record === undefined) return;
      if (outcome.kind === "refused") return removeRecord(nonce);
      record.state = "settled";
      record.savedBytes = options?.savedBytes ?? 0;
      savedBytes += record.savedBytes;
    },
    expire: (now) => {
      const expired: string[] = [];
      for (const [nonce, record] of records) {
        const removable = record.expiresAt <= now && record.state === "settled";
        if (removable) expired.push(nonce);
      }
      for (const nonce of expired) removeRecord(nonce);
      return expired;
    },
    wasPresented: (nonce) => records.has(nonce),
    size: () => records.size,
  };
}
