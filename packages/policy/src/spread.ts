/**
 * How news reaches every node: a rumour phase that pushes what is fresh to a
 * few random peers, and a comparison with one random peer a second that
 * repairs what the rumours missed. Pure; the node sends the messages.
 */

import { compareVersions } from "./adoption.ts";
import {
  ANTI_ENTROPY_BUCKETS,
  GOSSIP_FANOUT,
  GOSSIP_MESSAGE_ITEMS_MAX,
  GOSSIP_PUSH_ROUNDS,
  SETTLED_AFTER_MS,
} from "./constants.ts";
import { drawIndex, hashText, type Random } from "./random.ts";

/** One version of one topic. */
export interface News {
  readonly topic: string;
  readonly version: number;
  readonly digest: string;
  /** Small values travel along; large ones are pulled from `source`. */
  readonly value?: string;
  /** Control address of a node that holds the value. */
  readonly source?: string;
  /** Remaining life in ms; absent for news that is kept until replaced. */
  readonly lifeMs?: number;
}

/** A push of fresh news to one peer. */
export interface Push<Peer> {
  readonly peer: Peer;
  readonly news: readonly News[];
}

/** What one node tells another to find what either of them misses. */
export interface Comparison {
  /** Combined hash of all settled news. */
  readonly settled: number;
  /** News younger than the settling time. */
  readonly recent: readonly News[];
}

/** The answer to a comparison. */
export interface ComparisonReply {
  /** Recent news that the asking node did not name or has older. */
  readonly recent: readonly News[];
  /** Hash per bucket, when the settled news differs. */
  readonly buckets?: readonly number[];
}

/** How news is received. */
export interface ReceiveOptions {
  /**
   * Whether the news is left out of rumours, since the peers learn it from
   * where this node did; comparisons include it all the same.
   * @default false
   */
  readonly comparisonOnly?: boolean;
}

/** A node's view of all topics. */
export interface GossipState {
  /** Stores news; returns what was fresh. */
  readonly receive: (
    news: readonly News[],
    now: number,
    options?: ReceiveOptions,
  ) => readonly News[];
  /** Pushes of one round of rumours. */
  readonly pushRound: <Peer>(
    peers: readonly Peer[],
    options: { readonly now: number; readonly random: Random },
  ) => readonly Push<Peer>[];
  readonly compare: (now: number) => Comparison;
  readonly reply: (comparison: Comparison, now: number) => ComparisonReply;
  /** Hash of the settled news per bucket. */
  readonly buckets: (now: number) => readonly number[];
  /** News in the buckets whose hashes differ from the given ones. */
  readonly differing: (
    buckets: readonly number[],
    now: number,
  ) => readonly News[];
  readonly find: (topic: string) => News | undefined;
  /** Forgets a topic, as when its announced value proves to be false. */
  readonly forget: (topic: string) => void;
  readonly topics: (prefix: string) => readonly News[];
  readonly size: () => number;
}

interface TopicEntry {
  readonly news: News;
  readonly receivedAt: number;
  readonly hash: number;
  pushCount: number;
}

function hashNews(news: News): number {
  return hashText(`${news.topic}\n${news.version}\n${news.digest}`);
}

/** Creates a view that knows nothing. */
export function createGossipState(): GossipState {
  const entries = new Map<string, TopicEntry>();
  const pending = new Map<string, TopicEntry>();

  function isExpired({ news, receivedAt }: TopicEntry, now: number): boolean {
    return news.lifeMs !== undefined && now - receivedAt >= news.lifeMs;
  }

  function isSettled(entry: TopicEntry, now: number): boolean {
    // News with a lifetime is not compared: it ends by itself.
    const lasting = entry.news.lifeMs === undefined;
    return lasting && now - entry.receivedAt >= SETTLED_AFTER_MS;
  }

  function withRemainingLife(entry: TopicEntry, now: number): News {
    const { news, receivedAt } = entry;
    if (news.lifeMs === undefined) return news;
    return { ...news, lifeMs: Math.max(0, news.lifeMs - (now - receivedAt)) };
  }

  function store(news: News, now: number, quiet: boolean): boolean {
    const known = entries.get(news.topic);
    const newer = !known || compareVersions(news, known.news) > 0;
    if (!newer) return false;
    if (news.lifeMs !== undefined && news.lifeMs <= 0) return false;
    const entry = { news, receivedAt: now, hash: hashNews(news), pushCount: 0 };
    entries.set(news.topic, entry);
    if (quiet) pending.delete(news.topic);
    else pending.set(news.topic, entry);
    return true;
  }

  function removeFinished(now: number): void {
    for (const [topic, entry] of pending) {
      if (entry.pushCount >= GOSSIP_PUSH_ROUNDS) pending.delete(topic);
      if (!isExpired(entry, now)) continue;
      pending.delete(topic);
      entries.delete(topic);
    }
  }

  function recent(now: number): readonly News[] {
    const list: News[] = [];
    // Insertion order is age order only for topics that were never replaced,
    // so all of the hot ones are looked at, and then the rest by age.
    for (const entry of entries.values()) {
      if (isExpired(entry, now) || now - entry.receivedAt >= SETTLED_AFTER_MS) {
        continue;
      }
      list.push(withRemainingLife(entry, now));
      if (list.length >= GOSSIP_MESSAGE_ITEMS_MAX) break;
    }
    return list;
  }

  function bucketHashes(now: number): number[] {
    const buckets = new Array<number>(ANTI_ENTROPY_BUCKETS).fill(0);
    for (const [topic, entry] of entries) {
      if (!isSettled(entry, now)) continue;
      const index = hashText(topic) % ANTI_ENTROPY_BUCKETS;
      buckets[index] = ((buckets[index] ?? 0) ^ entry.hash) >>> 0;
    }
    return buckets;
  }

  function settledHash(now: number): number {
    return bucketHashes(now).reduce((all, hash) => (all ^ hash) >>> 0, 0);
  }

  return {
    receive: (news, now, options = {}) =>
      news.filter((item) => store(item, now, options.comparisonOnly ?? false)),
    pushRound: (peers, { now, random }) => {
      removeFinished(now);
      if (pending.size === 0 || peers.length === 0) return [];
      const entries = [...pending.values()].slice(0, GOSSIP_MESSAGE_ITEMS_MAX);
      for (const entry of entries) entry.pushCount++;
      const news = entries.map((entry) => withRemainingLife(entry, now));
      const fanout = Math.min(GOSSIP_FANOUT, peers.length);
      const start = drawIndex(random, peers.length);
      const pushes = [];
      const rest = [...peers.slice(start), ...peers.slice(0, start)];
      for (let index = 0; index < fanout; index++) {
        const at = index + drawIndex(random, rest.length - index);
        const peer = rest[at];
        const other = rest[index];
        if (peer === undefined || other === undefined) continue;
        rest[at] = other;
        rest[index] = peer;
        pushes.push({ peer, news });
      }
      return pushes;
    },
    compare: (now) => ({ settled: settledHash(now), recent: recent(now) }),
    reply: (comparison, now) => {
      const theirs = new Map(comparison.recent.map((n) => [n.topic, n]));
      const mine = recent(now).filter((news) => {
        const other = theirs.get(news.topic);
        return !other || compareVersions(news, other) > 0;
      });
      const same = settledHash(now) === comparison.settled;
      return same
        ? { recent: mine }
        : { recent: mine, buckets: bucketHashes(now) };
    },
    buckets: bucketHashes,
    differing: (buckets, now) => {
      const mine = bucketHashes(now);
      const list: News[] = [];
      for (const [topic, entry] of entries) {
        const index = hashText(topic) % ANTI_ENTROPY_BUCKETS;
        if (mine[index] === buckets[index] || isExpired(entry, now)) continue;
        list.push(withRemainingLife(entry, now));
      }
      return list;
    },
    find: (topic) => entries.get(topic)?.news,
    forget: (topic) => {
      entries.delete(topic);
      pending.delete(topic);
    },
    topics: (prefix) => {
      const list: News[] = [];
      for (const [topic, { news }] of entries) {
        if (topic.startsWith(prefix)) list.push(news);
      }
      return list;
    },
    size: () => entries.size,
  };
}
