/**
 * How news reaches every node: a rumour phase that pushes what is fresh to a
 * few random peers, and a comparison with one random peer a second that
 * repairs what the rumours missed. Pure; the node sends the messages.
 */

import { compareVersions } from "./adoption.ts";
import {
  RUMOUR_SENDS,
  SETTLED_AFTER_MS,
  SPREAD_BUCKETS,
  SPREAD_FANOUT,
  SPREAD_MESSAGE_MAX,
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

interface Held {
  readonly news: News;
  readonly heardAt: number;
  readonly hash: number;
  sends: number;
}

function hashOf(news: News): number {
  return hashText(`${news.topic}\n${news.version}\n${news.digest}`);
}

/** Creates a view that knows nothing. */
export function createGossipState(): GossipState {
  const held = new Map<string, Held>();
  const hot = new Map<string, Held>();

  function isExpired({ news, heardAt }: Held, now: number): boolean {
    return news.lifeMs !== undefined && now - heardAt >= news.lifeMs;
  }

  function isSettled(entry: Held, now: number): boolean {
    // News with a lifetime is not compared: it ends by itself.
    const lasting = entry.news.lifeMs === undefined;
    return lasting && now - entry.heardAt >= SETTLED_AFTER_MS;
  }

  function aged(entry: Held, now: number): News {
    const { news, heardAt } = entry;
    if (news.lifeMs === undefined) return news;
    return { ...news, lifeMs: Math.max(0, news.lifeMs - (now - heardAt)) };
  }

  function store(news: News, now: number, quiet: boolean): boolean {
    const known = held.get(news.topic);
    const newer = !known || compareVersions(news, known.news) > 0;
    if (!newer) return false;
    if (news.lifeMs !== undefined && news.lifeMs <= 0) return false;
    const entry = { news, heardAt: now, hash: hashOf(news), sends: 0 };
    held.set(news.topic, entry);
    if (quiet) hot.delete(news.topic);
    else hot.set(news.topic, entry);
    return true;
  }

  function sweep(now: number): void {
    for (const [topic, entry] of hot) {
      if (entry.sends >= RUMOUR_SENDS) hot.delete(topic);
      if (!isExpired(entry, now)) continue;
      hot.delete(topic);
      held.delete(topic);
    }
  }

  function recent(now: number): readonly News[] {
    const list: News[] = [];
    // Insertion order is age order only for topics that were never replaced,
    // so all of the hot ones are looked at, and then the rest by age.
    for (const entry of held.values()) {
      if (isExpired(entry, now) || now - entry.heardAt >= SETTLED_AFTER_MS) {
        continue;
      }
      list.push(aged(entry, now));
      if (list.length >= SPREAD_MESSAGE_MAX) break;
    }
    return list;
  }

  function bucketsOf(now: number): number[] {
    const buckets = new Array<number>(SPREAD_BUCKETS).fill(0);
    for (const [topic, entry] of held) {
      if (!isSettled(entry, now)) continue;
      const index = hashText(topic) % SPREAD_BUCKETS;
      buckets[index] = ((buckets[index] ?? 0) ^ entry.hash) >>> 0;
    }
    return buckets;
  }

  function settledHash(now: number): number {
    return bucketsOf(now).reduce((all, hash) => (all ^ hash) >>> 0, 0);
  }

  return {
    receive: (news, now, options = {}) =>
      news.filter((item) => store(item, now, options.comparisonOnly ?? false)),
    pushRound: (peers, { now, random }) => {
      sweep(now);
      if (hot.size === 0 || peers.length === 0) return [];
      const entries = [...hot.values()].slice(0, SPREAD_MESSAGE_MAX);
      for (const entry of entries) entry.sends++;
      const news = entries.map((entry) => aged(entry, now));
      const fanout = Math.min(SPREAD_FANOUT, peers.length);
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
        : { recent: mine, buckets: bucketsOf(now) };
    },
    buckets: bucketsOf,
    differing: (buckets, now) => {
      const mine = bucketsOf(now);
      const list: News[] = [];
      for (const [topic, entry] of held) {
        const index = hashText(topic) % SPREAD_BUCKETS;
        if (mine[index] === buckets[index] || isExpired(entry, now)) continue;
        list.push(aged(entry, now));
      }
      return list;
    },
    find: (topic) => held.get(topic)?.news,
    forget: (topic) => {
      held.delete(topic);
      hot.delete(topic);
    },
    topics: (prefix) => {
      const list: News[] = [];
      for (const [topic, { news }] of held) {
        if (topic.startsWith(prefix)) list.push(news);
      }
      return list;
    },
    size: () => held.size,
  };
}
