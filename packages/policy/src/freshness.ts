/**
 * How old a node's knowledge of the platform is, and what the node does about
 * it. Knowledge is confirmed by the platform itself or by a peer; a node that
 * gets no confirmation asks its peers, and then reads the platform itself,
 * before the knowledge is older than changes may take to apply.
 */

import {
  KNOWLEDGE_ASK_AGE_MS,
  KNOWLEDGE_ASK_PATIENCE_MS,
  KNOWLEDGE_ASK_RETRY_MS,
  KNOWLEDGE_FIRST_READ_MS,
  KNOWLEDGE_QUICK_ASKS_MAX,
  KNOWLEDGE_READ_AGE_MS,
  KNOWLEDGE_READ_RETRY_MAX_MS,
  KNOWLEDGE_READ_RETRY_MS,
  KNOWLEDGE_READ_SPREAD_MS,
  KNOWLEDGE_RENEW_AGE_MS,
  KNOWLEDGE_RENEW_SPREAD_MS,
  KNOWLEDGE_TAKEOVER_AGE_MS,
  KNOWLEDGE_TAKEOVER_SPREAD_MS,
  SOURCE_FANOUT,
} from "./constants.ts";
import type { Random } from "./random.ts";
import { resolveRanking } from "./subset.ts";

/** What a node does about the age of its knowledge; `nextMs` until the next. */
export type FreshnessAction =
  | { readonly kind: "wait"; readonly nextMs: number }
  /** Asks a peer. `attempt` counts from 0 since the last confirmation. */
  | {
    readonly kind: "ask";
    readonly attempt: number;
    readonly nextMs: number;
  }
  /** Reads the platform; `ageMs` is the age of the knowledge. */
  | { readonly kind: "read"; readonly ageMs: number; readonly nextMs: number };

/** Whether a node watches the platform for its data centre. */
export type KnowledgeRole = "reader" | "member";

/** Age of the knowledge of one node. All times are on the node's own clock. */
export interface Freshness {
  /** Records that every change up to `at` is known. */
  readonly confirm: (at: number) => void;
  /**
   * Records that some node read the platform, or tried to, at `at`. It makes
   * the reads that follow a failed one rare; it does not stand for a read.
   */
  readonly recordContact: (at: number) => void;
  /**
   * Records that this process was held up for `delayMs`, so that answers to its
   * asks may not have been read yet.
   */
  readonly recordDelay: (delayMs: number) => void;
  /** Records the end of a read that `decide` asked for, or of the feed's. */
  readonly recordRead: (isOk: boolean, now: number) => void;
  /** Age in ms of the knowledge; undefined if it was never confirmed. */
  readonly ageMs: (now: number) => number | undefined;
  /** Time in ms since the latest contact; undefined without one. */
  readonly contactAgeMs: (now: number) => number | undefined;
  /** Decides what to do, and records that it is done. */
  readonly decide: (now: number, role: KnowledgeRole) => FreshnessAction;
}

/** Creates the freshness of a node that knows nothing at its start. */
export function createFreshness(
  options: { readonly now: number; readonly random: Random },
): Freshness {
  const { random } = options;
  const startedAt = options.now;
  let confirmedAt: number | undefined;
  let contactAt: number | undefined;
  /**
   * Part of the spread of the age at which this node reads, in [0, 1); drawn for
   * each period of asks and after each read.
   */
  let spread = random();
  let firstAskAt: number | undefined;
  let lastAskAt = -Infinity;
  let attempt = 0;
  let lastReadAt = -Infinity;
  let retryMs = 0;
  let failedReads = 0;
  /** Whether this node's own read was the latest confirmation. */
  let renews = false;

  /** Time from which this node reads the platform. */
  function readDueAt(role: KnowledgeRole): number {
    switch (role) {
      case "reader": {
        const ageMs = renews
          ? KNOWLEDGE_RENEW_AGE_MS + spread * KNOWLEDGE_RENEW_SPREAD_MS
          : KNOWLEDGE_TAKEOVER_AGE_MS + spread * KNOWLEDGE_TAKEOVER_SPREAD_MS;
        return Math.max((confirmedAt ?? startedAt) + ageMs, retryDueAt());
      }
      case "member": {
        const dueAt = confirmedAt === undefined
          ? startedAt + KNOWLEDGE_FIRST_READ_MS
          : confirmedAt + KNOWLEDGE_READ_AGE_MS;
        const spreadMs = spread * KNOWLEDGE_READ_SPREAD_MS;
        // Asks come first.
        const askedUntil = (firstAskAt ?? Infinity) + KNOWLEDGE_ASK_PATIENCE_MS;
        return Math.max(dueAt + spreadMs, askedUntil, retryDueAt());
      }
    }
  }

  /**
   * Time from which a failed read is tried again. If others try meanwhile, they
   * notice first that the platform works again. They may be the only ones that
   * it does not answer, so this node does not leave it to them for good.
   */
  function retryDueAt(): number {
    const otherTries = contactAt !== undefined &&
      contactAt >= lastReadAt - KNOWLEDGE_READ_AGE_MS;
    const waitsLong = failedReads > 0 && otherTries;
    return lastReadAt + (waitsLong ? KNOWLEDGE_READ_RETRY_MAX_MS : retryMs);
  }

  function askDueAt(): number {
    const staleAt = (confirmedAt ?? startedAt) + KNOWLEDGE_ASK_AGE_MS;
    const pauseMs = attempt < KNOWLEDGE_QUICK_ASKS_MAX
      ? KNOWLEDGE_ASK_RETRY_MS
      : KNOWLEDGE_ASK_AGE_MS;
    return Math.max(staleAt, lastAskAt + pauseMs);
  }

  function recordContact(at: number): void {
    contactAt = Math.max(contactAt ?? -Infinity, at);
  }

  /** Forgets the asks, once the knowledge is recent. */
  function endPeriod(): void {
    if (firstAskAt === undefined) return;
    firstAskAt = undefined;
    attempt = 0;
    spread = random();
  }

  return {
    confirm: (at) => {
      recordContact(at);
      if (confirmedAt !== undefined && at <= confirmedAt) return;
      confirmedAt = at;
      renews = false;
    },
    recordContact,
    recordDelay: (delayMs) => {
      if (firstAskAt !== undefined) firstAskAt += delayMs;
    },
    recordRead: (isOk, now) => {
      renews = isOk;
      if (isOk) spread = random();
      failedReads = isOk ? 0 : failedReads + 1;
      const waitMs = Math.min(
        KNOWLEDGE_READ_RETRY_MAX_MS,
        KNOWLEDGE_READ_RETRY_MS * 2 ** Math.max(0, failedReads - 1),
      );
      lastReadAt = now;
      retryMs = isOk ? 0 : waitMs * (0.75 + random() / 4);
    },
    ageMs: (now) => confirmedAt === undefined ? undefined : now - confirmedAt,
    contactAgeMs: (now) =>
      contactAt === undefined ? undefined : now - contactAt,
    decide: (now, role) => {
      // What is confirmed but still old does not end the period: a node may
      // gain a little from each ask.
      if (now - (confirmedAt ?? startedAt) < KNOWLEDGE_ASK_AGE_MS) endPeriod();
      if (now >= readDueAt(role)) {
        // Until `recordRead` tells how it ended.
        lastReadAt = now;
        retryMs = KNOWLEDGE_READ_RETRY_MAX_MS;
        const ageMs = now - (confirmedAt ?? startedAt);
        return { kind: "read", ageMs, nextMs: KNOWLEDGE_ASK_RETRY_MS };
      }
      if (now < askDueAt()) {
        const dueAt = Math.min(askDueAt(), readDueAt(role));
        return { kind: "wait", nextMs: dueAt - now };
      }
      firstAskAt ??= now;
      lastAskAt = now;
      const nextMs = Math.min(KNOWLEDGE_ASK_RETRY_MS, readDueAt(role) - now);
      return { kind: "ask", attempt: attempt++, nextMs };
    },
  };
}

/**
 * Returns the members of a data centre among which a node draws the one that it
 * asks: the readers in a small one. In a large one the sources form a tree in
 * the order of the ranking, so that no node answers many.
 */
export function resolveSources<Member extends { readonly id: string }>(
  members: readonly Member[],
  options: {
    readonly dataCentre: string;
    /** Id of the node among the members; undefined if it is none of them. */
    readonly self: string | undefined;
    /** Number of sources in a small data centre. */
    readonly sourcesMin: number;
  },
): readonly Member[] {
  const ranking = resolveRanking(members, { hashKey: options.dataCentre });
  const found = ranking.findIndex(({ id }) => id === options.self);
  const position = found < 0 ? ranking.length : found;
  const count = Math.ceil(position / SOURCE_FANOUT);
  // Half of the nodes before, so that the first of them answer no more than
  // the others.
  const sources = count > options.sourcesMin
    ? ranking.slice(Math.floor(count / 2), count)
    : ranking.slice(0, options.sourcesMin);
  return sources.filter(({ id }) => id !== options.self);
}
