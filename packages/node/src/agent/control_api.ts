/** Routes of the control listener: gossip and bundles between nodes. */

import type { Comparison, ComparisonReply, News } from "@coltsfootdeal/policy";
import { initTRPC } from "@trpc/server";
import * as z from "zod";
import type { Position } from "./position.ts";

/** Value of a topic that another node has requested. */
export interface PulledValue {
  readonly topic: string;
  readonly value: string;
}

/** Identity of a node, with whether it has a bundle in force. */
export interface Identity {
  readonly instance: string;
  readonly incarnation: string;
  readonly ready: boolean;
  /** Whether it is a reader and the platform answers it. */
  readonly readsPlatform: boolean;
}

/** How recent a node's knowledge of the platform is. */
export interface PlatformContact {
  /**
   * Time in ms since some node read the platform, or tried to; absent if
   * unknown.
   */
  readonly readerAgeMs?: number;
  /** Age in ms of the knowledge; absent if it was never confirmed. */
  readonly knowledgeAgeMs?: number;
  /** Position of the platform up to which this node knows every change. */
  readonly position?: Position;
}

/** A comparison of the node at a control address. */
export interface SourcedComparison extends Comparison, PlatformContact {
  /** Absent if the node does not say where it is. */
  readonly source?: string;
}

/** Handlers of the control messages, which the agent provides. */
export interface ControlHandler {
  readonly identity: () => Identity;
  /** Receives news from a peer, to be pushed on. */
  readonly push: (news: readonly News[]) => void;
  /** Receives news from a reader, which informs the other nodes as well. */
  readonly inform: (news: readonly News[]) => void;
  /** Answers a peer's anti-entropy comparison with what differs. */
  readonly compare: (
    comparison: SourcedComparison,
  ) => ComparisonReply & PlatformContact;
  /** Receives the control address of a node that has just read the platform. */
  readonly offer: (source: string) => void;
  /** Returns the news in the buckets whose hash differs from the given one. */
  readonly differing: (buckets: readonly number[]) => readonly News[];
  /** Returns the values of topics; topics without a value are left out. */
  readonly pull: (topics: readonly string[]) => readonly PulledValue[];
  /** Called with the number of items of a message that were left out. */
  readonly onMalformedNews: (items: number, reason: string) => void;
}

/** Longest topic; holds the longest key of a platform with its prefix. */
const TOPIC_MAX_LENGTH = 256;
/** Longest value; holds a death of some 1,800 runs. */
const VALUE_MAX_LENGTH = 65_536;

/** Longest control address of a node. */
const ADDRESS_MAX_LENGTH = 64;

const NEWS_SCHEMA = z.object({
  topic: z.string().max(TOPIC_MAX_LENGTH),
  version: z.number().int().nonnegative(),
  digest: z.string().max(128),
  value: z.string().max(VALUE_MAX_LENGTH).optional(),
  source: z.string().max(ADDRESS_MAX_LENGTH).optional(),
  lifeMs: z.number().optional(),
});

const POSITION_SCHEMA = z.object({
  era: z.int().nonnegative(),
  revision: z.int().nonnegative(),
});

/** Items are checked one by one, so that one of them holds back no others. */
const NEWS_LIST_SCHEMA = z.array(z.unknown()).max(4_096);

const trpc = initTRPC.create();

/** Removes absent optional keys, which zod sets to undefined. */
function omitUndefined(news: z.output<typeof NEWS_SCHEMA>): News {
  const { topic, version, digest, value, source, lifeMs } = news;
  return {
    topic,
    version,
    digest,
    ...(value === undefined ? {} : { value }),
    ...(source === undefined ? {} : { source }),
    ...(lifeMs === undefined ? {} : { lifeMs }),
  };
}

function formatIssue({ issues: [issue] }: z.ZodError): string {
  return `${issue?.path.join(".")}: ${issue?.message}`;
}

/** Creates the routes of the control listener. */
export function createControlRouter(handler: ControlHandler) {
  function readNews(items: readonly unknown[]): readonly News[] {
    const news: News[] = [];
    let reason = "";
    for (const item of items) {
      const parsed = NEWS_SCHEMA.safeParse(item);
      if (parsed.success) news.push(omitUndefined(parsed.data));
      else reason = formatIssue(parsed.error);
    }
    const malformed = items.length - news.length;
    if (malformed > 0) handler.onMalformedNews(malformed, reason);
    return news;
  }

  return trpc.router({
    identity: trpc.procedure.query(() => handler.identity()),
    push: trpc.procedure.input(NEWS_LIST_SCHEMA).mutation(({ input }) => {
      handler.push(readNews(input));
    }),
    inform: trpc.procedure.input(NEWS_LIST_SCHEMA).mutation(({ input }) => {
      handler.inform(readNews(input));
    }),
    compare: trpc.procedure
      .input(z.object({
        settled: z.number(),
        recent: NEWS_LIST_SCHEMA,
        readerAgeMs: z.number().nonnegative().optional(),
        knowledgeAgeMs: z.number().nonnegative().optional(),
        position: POSITION_SCHEMA.optional(),
        source: z.string().max(ADDRESS_MAX_LENGTH).optional(),
      }))
      .mutation(({ input }) => {
        const { settled, recent, ...sender } = input;
        const { readerAgeMs, knowledgeAgeMs, position, source } = sender;
        return handler.compare({
          settled,
          recent: readNews(recent),
          ...(readerAgeMs === undefined ? {} : { readerAgeMs }),
          ...(knowledgeAgeMs === undefined ? {} : { knowledgeAgeMs }),
          ...(position === undefined ? {} : { position }),
          ...(source === undefined ? {} : { source }),
        });
      }),
    offer: trpc.procedure
      .input(z.object({ source: z.string().max(ADDRESS_MAX_LENGTH) }))
      .mutation(({ input }) => handler.offer(input.source)),
    differing: trpc.procedure
      .input(z.array(z.number()).max(4_096))
      .mutation(({ input }) => handler.differing(input)),
    pull: trpc.procedure
      .input(z.array(z.string().max(200)).max(64))
      .mutation(({ input }) => handler.pull(input)),
  });
}

/** Type of the control routes, from which clients infer their calls. */
export type ControlRouter = ReturnType<typeof createControlRouter>;
