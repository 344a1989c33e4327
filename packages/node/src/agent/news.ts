/** The news that agents exchange: topics and values. */

import { createHash } from "node:crypto";
import {
  type Death,
  type InstanceFact,
  LEAVING_FACT_TTL_MS,
  type News,
  SUSPECT_TTL_MS,
} from "@coltsfootdeal/policy";

/** Topics of bundles, by scope. */
export const BUNDLE = "bundle/";
/** Topics of the instance list, by id. */
export const INSTANCE = "instance/";
/** Topics of what instances say about themselves, by id. */
export const FACT = "fact/";
/** Topics of deaths of backend servers, by id of the death. */
export const DEATH = "death/";

/** Digest of a small value. */
export function digestOf(text: string): string {
  return createHash("sha256").update(text).digest("hex").slice(0, 16);
}

/** News of what an instance says about itself. */
export function factNews(fact: InstanceFact): News {
  const start = Number.parseInt(fact.incarnation, 10) || 0;
  const value = JSON.stringify(fact);
  return {
    topic: FACT + fact.id,
    // Leaving comes after live in the same incarnation.
    version: start * 2 + (fact.leaving ? 1 : 0),
    digest: digestOf(value),
    value,
    lifeMs: LEAVING_FACT_TTL_MS,
  };
}

/** News of the death of a backend server. */
export function deathNews(death: Death): News {
  const value = JSON.stringify(death);
  return {
    topic: DEATH + death.id,
    version: 1,
    digest: digestOf(value),
    value,
    lifeMs: SUSPECT_TTL_MS,
  };
}

/** Reads a small value; undefined if it is none. */
export function parse<Value>(news: News): Value | undefined {
  try {
    return news.value ? JSON.parse(news.value) as Value : undefined;
  } catch {
    return undefined;
  }
}

/**
 * Whether news spreads as a rumour also where all nodes read the instance list
 * for themselves: what the list does not tell, or not in time.
 */
export function isUrgent(news: News): boolean {
  if (!news.topic.startsWith(FACT)) return !news.topic.startsWith(INSTANCE);
  return parse<InstanceFact>(news)?.leaving === true;
}
