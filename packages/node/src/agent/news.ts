/** Topics and values of news, the items that agents exchange by gossip. */

import { createHash } from "node:crypto";
import {
  type BackendIncarnation,
  type Death,
  type InstanceFact,
  LEAVING_FACT_TTL_MS,
  type News,
  SUSPECT_TTL_MS,
} from "@coltsfootdeal/policy";

/** Prefix of the topics of bundles, before the scope. */
export const BUNDLE_TOPIC_PREFIX = "bundle/";
/** Prefix of the topics of instance list entries, before the instance id. */
export const INSTANCE_TOPIC_PREFIX = "instance/";
/** Prefix of the topics of facts about instances, before the instance id. */
export const FACT_TOPIC_PREFIX = "fact/";
/** Prefix of the topics of backend server deaths, before the death's id. */
export const DEATH_TOPIC_PREFIX = "death/";

/** Prefix of the topics of leaving backend servers, before the instance id. */
export const NOTICE_TOPIC_PREFIX = "notice/";

/** Returns the first 16 hex digits of the SHA-256 of a text. */
export function shortDigest(text: string): string {
  return createHash("sha256").update(text).digest("hex").slice(0, 16);
}

/** Creates the news of a fact that an instance reports about itself. */
export function createFactNews(fact: InstanceFact): News {
  // An incarnation begins with its start time in ms; one that does not begin
  // with a number counts as the oldest.
  const startedAt = Number.parseInt(fact.incarnation, 10) || 0;
  const value = JSON.stringify(fact);
  return {
    topic: FACT_TOPIC_PREFIX + fact.id,
    // Later incarnations are newer; within one, leaving is newer than live.
    version: startedAt * 2 + (fact.leaving ? 1 : 0),
    digest: shortDigest(value),
    value,
    // Despite its name, the constant also sets the life of live facts.
    lifeMs: LEAVING_FACT_TTL_MS,
  };
}

/** Creates the news that a backend server is leaving for good. */
export function createLeavingNews(
  { id, startedAt }: BackendIncarnation,
): News {
  const value = JSON.stringify({ id, startedAt });
  return {
    topic: NOTICE_TOPIC_PREFIX + id,
    version: startedAt ?? 0,
    digest: shortDigest(value),
    value,
  };
}

/** Creates the news of the death of a backend server. */
export function createDeathNews(death: Death): News {
  const value = JSON.stringify(death);
  return {
    topic: DEATH_TOPIC_PREFIX + death.id,
    version: 1,
    digest: shortDigest(value),
    value,
    // The time for which a death counts against the calls that were running.
    lifeMs: SUSPECT_TTL_MS,
  };
}

/**
 * Parses the value of news without checking its shape; undefined if it has none
 * or it is not JSON.
 */
export function parseNewsValue<Value>(news: News): Value | undefined {
  try {
    return news.value ? JSON.parse(news.value) as Value : undefined;
  } catch {
    return undefined;
  }
}

/**
 * Whether news is pushed to peers, given what is `known` of its topic. That an
 * instance is live is only exchanged in comparisons: each node says so when it
 * starts, and a fleet that starts at once would push as much as it has nodes,
 * from each node to several others. It is pushed if the instance was leaving
 * before, since its peers send it no calls until they know.
 */
export function requiresPush(news: News, known: News | undefined): boolean {
  if (!news.topic.startsWith(FACT_TOPIC_PREFIX)) return true;
  const isLeaving = (item: News) =>
    parseNewsValue<InstanceFact>(item)?.leaving === true;
  return isLeaving(news) || known !== undefined && isLeaving(known);
}
