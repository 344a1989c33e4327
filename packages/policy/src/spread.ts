/**
 * Gossip: distributes news to every node. New items are pushed to a few random
 * peers in several rounds; a comparison with one random peer, usually once a
 * second (anti-entropy), repairs what the pushes missed. Performs no I/O: the
 * node sends the messages.
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

/** One version of a value that all nodes should know, named by its topic. */
export interface News {
  readonly topic: string;
  readonly version: number;
  readonly digest: string;
  /** The value, if it is small; a large one is fetched from `source`. */
  readonly value?: string;
  /** Control address of a node that holds the value. */
  readonly source?: string;
  /** Remaining lifetime in ms; absent for news kept until replaced. */
  readonly lifeMs?: number;
}

/** News to be pushed to one peer. */
export interface Push<Peer> {
  readonly peer: Peer;
  readonly news: readonly News[];
}

/** Summary that one node sends to another to find missing news on both. */
export interface Comparison {
  /** Combined hash of all settled news, that is news older than a fixed age. */
  readonly settled: number;
  /** News that is not settled yet, in full, up to a maximum number. */
  readonly recent: readonly News[];
}

/** The answer to a comparison. */
export interface ComparisonReply {
  /** Recent news that the asking node lacks or has in an older version. */
  readonly recent: readonly News[];
  /** Hash per bucket of topics; present if the settled news differs. */
  readonly buckets?: readonly number[];
  /** Whether there is more recent news than one message may hold. */
  readonly truncated?: boolean;
}

/** How news is received. */
export interface ReceiveOptions {
  /**
   * Whether the news is left out of pushes, because another node informs the
   * peers. Comparisons still include it.
   * @default false
   */
  readonly comparisonOnly?: boolean;
}

/** A node's known news by topic. */
export interface GossipState {
  /** Stores news; returns the items that were new or newer. */
  readonly receive: (
    news: readonly News[],
    now: number,
    options?: ReceiveOptions,
  ) => readonly News[];
  /** Returns the pushes of one round. */
  readonly pushRound: <Peer>(
    peers: readonly Peer[],
    options: { readonly now: number; readonly random: Random },
  ) => readonly Push<Peer>[];
  /** News that is still to be pushed, up to a maximum number. */
  readonly pending: (now: number) => readonly News[];
  /** Returns the same, and leaves it out of later rounds. */
  readonly takePending: (now: number) => readonly News[];
  /** Builds the summary for a comparison with a peer. */
  readonly compare: (now: number) => Comparison;
  /** Answers the comparison of a peer. */
  readonly reply: (comparison: Comparison, now: number) => ComparisonReply;
  /** Hash of the settled news per bucket. */
  readonly buckets: (now: number) => readonly number[];
  /** News of the buckets whose hashes differ from the given ones. */
  readonly differing: (
    buckets: readonly number[],
    now: number,
  ) => readonly News[];
  readonly find: (topic: string) => News | undefined;
  /** Removes a topic, for example when its value fails verification. */
  readonly forget: (topic: string) => void;
  /** News of the topics that start with `prefix`. */
  readonly topics: (prefix: string) => readonly News[];
  /** Number of known topics. */
  readonly size: () => number;
}

interface TopicEntry {
  readonly news: News;
  readonly receivedAt: number;
  readonly hash: number;
  /** Index of the topic's bucket. */
  readonly bucket: number;
  pushCount: number;
}

function hashNews(news: News): number {
  return hashText(`${news.topic}\n${news.version}\n${news.digest}`);
}

/** Creates a state with no news. */
export function createGossipState(): GossipState {
  const byTopic = new Map<string, TopicEntry>();
  /** Entries that are still being pushed. */
  const pending = new Map<string, TopicEntry>();

  function isExpired({ news, receivedAt }: TopicEntry, now: number): boolean {
    return news.lifeMs !== undefined && now - receivedAt >= news.lifeMs;
  }

  function isSettled(entry: TopicEntry, now: number): boolean {
    // News with a lifetime is not compared by hash, since it expires anyway.
    const isPermanent = entry.news.lifeMs === undefined;
    return isPermanent && now - entry.receivedAt >= SETTLED_AFTER_MS;
  }

  function withRemainingLife(entry: TopicEntry, now: number): News {
    const { news, receivedAt } = entry;
    if (news.lifeMs === undefined) return news;
    return { ...news, lifeMs: Math.max(0, news.lifeMs - (now - receivedAt)) };
  }

  /** Stores an item; false if it is not newer than the known one. */
  function store(news: News, now: number, comparisonOnly: boolean): boolean {
    const known = byTopic.get(news.topic);
    const newer = !known || compareVersions(news, known.news) > 0;
    if (!newer) return false;
    if (news.lifeMs !== undefined && news.lifeMs <= 0) return false;
    const entry = {
      news,
      receivedAt: now,
      hash: hashNews(news),
      bucket: known?.bucket ?? hashText(news.topic) % ANTI_ENTROPY_BUCKETS,
      pushCount: 0,
    };
    byTopic.set(news.topic, entry);
    if (comparisonOnly) pending.delete(news.topic);
    else pending.set(news.topic, entry);
    return true;
  }

  /** Ends pushes after the last round and removes pending news that expired. */
  function removeFinished(now: number): void {
    for (const [topic, entry] of pending) {
      if (entry.pushCount >= GOSSIP_PUSH_ROUNDS) pending.delete(topic);
      if (!isExpired(entry, now)) continue;
      pending.delete(topic);
      byTopic.delete(topic);
    }
  }

  function recent(now: number): readonly News[] {
    const list: News[] = [];
    // Replacing a topic keeps its position in the map, so the order is not by
    // age: settled entries are skipped rather than ending the scan.
    for (const entry of byTopic.values()) {
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
    for (const entry of byTopic.values()) {
      if (!isSettled(entry, now)) continue;
      const { bucket, hash } = entry;
      buckets[bucket] = ((buckets[bucket] ?? 0) ^ hash) >>> 0;
    }
    return buckets;
  }

  function settledHash(now: number): number {
    let all = 0;
    for (const entry of byTopic.values()) {
      if (isSettled(entry, now)) all = (all ^ entry.hash) >>> 0;
    }
    return all;
  }

  function pendingNews(now: number): readonly News[] {
    removeFinished(now);
    return [...pending.values()].slice(0, GOSSIP_MESSAGE_ITEMS_MAX)
      .map((entry) => withRemainingLife(entry, now));
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
      const shuffled = [...peers.slice(start), ...peers.slice(0, start)];
      for (let index = 0; index < fanout; index++) {
        const at = index + drawIndex(random, shuffled.length - index);
        const peer = shuffled[at];
        const other = shuffled[index];
        if (peer === undefined || other === undefined) continue;
        shuffled[at] = other;
        shuffled[index] = peer;
        pushes.push({ peer, news });
      }
      return pushes;
    },
    pending: pendingNews,
    takePending: (now) => {
      const news = pendingNews(now);
      for (const { topic } of news) pending.delete(topic);
      return news;
    },
    compare: (now) => ({ settled: settledHash(now), recent: recent(now) }),
    reply: (comparison, now) => {
      const peerNews = new Map(comparison.recent.map((n) => [n.topic, n]));
      const all = recent(now);
      const own = all.filter((news) => {
        const other = peerNews.get(news.topic);
        return !other || compareVersions(news, other) > 0;
      });
      const settledMatch = settledHash(now) === comparison.settled;
      return {
        recent: own,
        ...(settledMatch ? {} : { buckets: bucketHashes(now) }),
        ...(all.length < GOSSIP_MESSAGE_ITEMS_MAX ? {} : { truncated: true }),
      };
    },
    buckets: bucketHashes,
    differing: (buckets, now) => {
      const own = bucketHashes(now);
      const list: News[] = [];
      for (const entry of byTopic.values()) {
        const { bucket } = entry;
        if (own[bucket] === buckets[bucket] || isExpired(entry, now)) continue;
        list.push(withRemainingLife(entry, now));
      }
      return list;
    },
    find: (topic) => byTopic.get(topic)?.news,
    forget: (topic) => {
      byTopic.delete(topic);
      pending.delete(topic);
    },
    topics: (prefix) => {
      const list: News[] = [];
      for (const [topic, { news }] of byTopic) {
        if (topic.startsWith(prefix)) list.push(news);
      }
      return list;
    },
    size: () => byTopic.size,
  };
}
