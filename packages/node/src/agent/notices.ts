/**
 * What a node remembers of other nodes' backend servers: what they stated in
 * their answers, and that they are leaving, which is exchanged as news.
 */

import type { Clock } from "@coltsfootdeal/kernel";
import {
  type BackendIncarnation,
  type BackendReport,
  createNoticeMemory,
  type GossipState,
  type News,
  type ReceiveOptions,
} from "@coltsfootdeal/policy";
import type { Audit } from "../admin/audit.ts";
import {
  createLeavingNews,
  NOTICE_TOPIC_PREFIX,
  parseNewsValue,
} from "./news.ts";

/** Resolved configuration of a node's notices. */
export interface NoticesConfig {
  readonly clock: Clock;
  readonly audit: Audit;
  readonly gossip: GossipState;
  /** Whether the instance list has an entry of this id. */
  readonly isListed: (id: string) => boolean;
  /** Called when a backend server is known to leave. */
  readonly onLeaving: (report: BackendReport) => void;
}

/** The notices that a node remembers. */
export interface Notices {
  /** Records what a gate reports; true if its backend server now leaves. */
  readonly recordReport: (report: BackendReport) => boolean;
  /** Records that a backend server is leaving; false if that was known. */
  readonly recordLeaving: (
    incarnation: BackendIncarnation,
    options?: ReceiveOptions,
  ) => boolean;
  /** Applies news of a leaving backend server; false if it was known. */
  readonly applyNews: (news: News) => boolean;
  /** Ends the news of a backend server that left the list. */
  readonly forgetNews: (id: string) => void;
  readonly find: (id: string) => BackendReport | undefined;
  readonly isLeaving: (incarnation: BackendIncarnation) => boolean;
}

/** Creates notices of no backend server. */
export function createNotices(config: NoticesConfig): Notices {
  const { clock, audit, gossip } = config;
  const memory = createNoticeMemory();

  function recordLeaving(
    { id, startedAt }: BackendIncarnation,
    options: ReceiveOptions = {},
  ): boolean {
    const report = { id, startedAt, requestsPerS: undefined, leaving: true };
    if (!memory.record(report)) return false;
    audit.record("backend_leaving", { id, startedAt });
    gossip.receive([createLeavingNews(report)], clock.now(), options);
    config.onLeaving(report);
    return true;
  }

  return {
    recordReport: (report) => {
      const leaves = report.leaving && recordLeaving(report);
      memory.record(report);
      return leaves;
    },
    recordLeaving,
    applyNews: (news) => {
      const leaving = parseNewsValue<BackendIncarnation>(news);
      if (leaving === undefined) return false;
      if (config.isListed(leaving.id)) return recordLeaving(leaving);
      // It left the list here already. If it was not listed yet, a later
      // comparison delivers the news again.
      gossip.forget(news.topic);
      return false;
    },
    forgetNews: (id) => gossip.forget(NOTICE_TOPIC_PREFIX + id),
    find: memory.find,
    isLeaving: memory.isLeaving,
  };
}
