/**
 * Keeps what this node knows of the platform confirmed: asks peers when the
 * latest confirmation is old, and reads the platform itself when none of them
 * has heard of it in time. Does not depend on being listed as an instance, or
 * on any one other node.
 */

import type { Clock, Timer } from "@coltsfootdeal/kernel";
import {
  createFreshness,
  KNOWLEDGE_READ_AGE_MS,
  type KnowledgeRole,
} from "@coltsfootdeal/policy";
import type { Audit } from "../admin/audit.ts";
import type { PlatformContact } from "./control_api.ts";
import type { Feed } from "./feed.ts";
import { orderOf, type Position } from "./position.ts";

/** Resolved configuration of a knowledge. */
export interface KnowledgeConfig {
  readonly clock: Clock;
  readonly audit: Audit;
  readonly feed: Feed;
  /** Exchanges all news with a peer; false if it did not answer. */
  readonly compareWith: (peer: string) => Promise<boolean>;
  /** Draws the peers to ask; `attempt` counts those that did not help. */
  readonly drawPeers: (attempt: number) => readonly string[];
  /**
   * Tells peers that this node reads the platform, or has just read it: those
   * that read it too, or all of its data centre.
   */
  readonly offer: (receivers: "readers" | "data_centre") => void;
}

/** Age of what this node knows of the platform, and what keeps it low. */
export interface Knowledge {
  /** Begins the checks of the age. */
  readonly start: () => void;
  /** Age of the knowledge in ms; undefined if it was never confirmed. */
  readonly ageMs: () => number | undefined;
  /** Age of the knowledge of this node, for a peer. */
  readonly contact: () => PlatformContact;
  /** Records what a peer has heard of readers. */
  readonly recordContact: (contact: PlatformContact) => void;
  /**
   * Records the contact of `peer`, whose news this node has in full, from a
   * request that was sent at `sentAt`.
   */
  readonly recordComparison: (
    contact: PlatformContact,
    request: { readonly peer: string; readonly sentAt: number },
  ) => void;
  /** Handles the offer of a peer that has just read the platform. */
  readonly receiveOffer: (peer: string) => void;
  readonly close: () => void;
}

/** Delay of a timer from which the process counts as held up. */
const DELAY_MIN_MS = 50;
/** Age below which knowledge is recent. */
const RECENT_AGE_MAX_MS = 400;

/** Creates a knowledge that has not started. */
export function createKnowledge(config: KnowledgeConfig): Knowledge {
  const { clock, audit, feed } = config;
  const freshness = createFreshness({
    now: clock.now(),
    random: Math.random,
  });
  /** Latest position of the platform that the knowledge includes. */
  let position: Position | undefined;
  /** Control address of a peer whose knowledge was recent. */
  let source: string | undefined;
  /** Time of a read that failed; undefined once one was answered. */
  let failedReadAt: number | undefined;
  /** Whether peers were told that this node has become a reader. */
  let hasOffered = false;
  let timer: Timer | undefined;
  /** Time at which the timer is to fire. */
  let dueAt = Infinity;
  let closed = false;

  function includePosition(next: Position | undefined): void {
    if (next === undefined) return;
    if (position === undefined || orderOf(next) > orderOf(position)) {
      position = next;
    }
    feed.advance(position);
  }

  function currentRole(): KnowledgeRole {
    return feed.active() ? "reader" : "member";
  }

  /** Records that `by` confirmed every change up to `at`. */
  function confirm(at: number, by: string): void {
    const now = clock.now();
    const ageMs = freshness.ageMs(now);
    freshness.confirm(at);
    const isLate = ageMs !== undefined && ageMs >= KNOWLEDGE_READ_AGE_MS &&
      now - at < KNOWLEDGE_READ_AGE_MS;
    if (!isLate) return;
    audit.record("knowledge_regained", { ageMs: Math.round(ageMs), by });
  }

  /** Takes over what the feed has confirmed meanwhile. */
  function observeFeed(): void {
    if (!feed.active()) {
      hasOffered = false;
      return;
    }
    freshness.recordContact(clock.now());
    const confirmedAt = feed.confirmedAt();
    if (confirmedAt === undefined) return;
    confirm(confirmedAt, "platform");
    includePosition(feed.position());
    if (failedReadAt !== undefined && confirmedAt > failedReadAt) {
      failedReadAt = undefined;
      freshness.recordRead(true, clock.now());
    }
    if (!hasOffered) config.offer("data_centre");
    hasOffered = true;
  }

  /** Asks a source of this node; then the peer that helped last, and others. */
  function ask(attempt: number): void {
    const helped = attempt === 1 ? source : undefined;
    if (attempt > 0) source = undefined;
    const asked = new Set([helped ?? [], config.drawPeers(attempt)].flat());
    for (const peer of asked) config.compareWith(peer);
  }

  async function read(ageMs: number): Promise<void> {
    const role = currentRole();
    // The feed calls a platform that does not answer until it does.
    const isTrying = role === "reader" && !feed.reachable();
    const confirmation = isTrying ? undefined : await feed.check(position);
    if (closed) return;
    const answered = confirmation !== undefined;
    // A reader renews what it knows all the time.
    if (role === "member" || !answered && !isTrying) {
      const age = Math.round(ageMs);
      audit.record("platform_checked", { role, ageMs: age, answered });
    }
    const now = clock.now();
    if (!answered) {
      failedReadAt = now;
      return freshness.recordRead(false, now);
    }
    confirm(confirmation.at, "platform");
    includePosition(confirmation.position);
    freshness.recordRead(true, now);
    config.offer(role === "reader" ? "readers" : "data_centre");
  }

  function check(): void {
    observeFeed();
    const now = clock.now();
    if (now - dueAt >= DELAY_MIN_MS) freshness.recordDelay(now - dueAt);
    const action = freshness.decide(now, currentRole());
    switch (action.kind) {
      case "wait":
        break;
      case "ask":
        ask(action.attempt);
        break;
      case "read":
        read(action.ageMs);
    }
    dueAt = now + action.nextMs;
    timer = clock.after(action.nextMs, check);
  }

  function recordContact({ readerAgeMs }: PlatformContact): void {
    if (readerAgeMs === undefined) return;
    freshness.recordContact(clock.now() - readerAgeMs);
  }

  return {
    start: check,
    ageMs: () => {
      observeFeed();
      return freshness.ageMs(clock.now());
    },
    contact: () => {
      observeFeed();
      const now = clock.now();
      const readerAgeMs = freshness.contactAgeMs(now);
      const knowledgeAgeMs = freshness.ageMs(now);
      return {
        ...(readerAgeMs === undefined ? {} : { readerAgeMs }),
        ...(knowledgeAgeMs === undefined ? {} : { knowledgeAgeMs }),
        ...(position === undefined ? {} : { position }),
      };
    },
    recordContact,
    recordComparison: (contact, { peer, sentAt }) => {
      recordContact(contact);
      includePosition(contact.position);
      const { knowledgeAgeMs } = contact;
      if (knowledgeAgeMs === undefined) return;
      if (knowledgeAgeMs < RECENT_AGE_MAX_MS) source = peer;
      confirm(sentAt - knowledgeAgeMs, `peer ${peer}`);
    },
    receiveOffer: (peer) => {
      observeFeed();
      const ageMs = freshness.ageMs(clock.now()) ?? Infinity;
      if (ageMs >= RECENT_AGE_MAX_MS) config.compareWith(peer);
    },
    close: () => {
      closed = true;
      timer?.close();
    },
  };
}
