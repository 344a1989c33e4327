/**
 * What backend servers state about themselves in the headers of their answers:
 * the rate of requests that they accept and that they are leaving. A statement
 * holds for one incarnation of a backend server and outlives the node beside it.
 */

import { NOTICES_MAX } from "./constants.ts";

/** What a backend server states about itself. */
export interface BackendNotice {
  /**
   * Requests per second that it accepts from all nodes together; undefined
   * without a limit.
   */
  readonly requestsPerS: number | undefined;
  /** Whether it is leaving, so that it must get no new requests. */
  readonly leaving: boolean;
}

/** One incarnation of a backend server. */
export interface BackendIncarnation {
  /** Id in the instance list. */
  readonly id: string;
  /** Start in Unix ms; undefined if the instance list does not state it. */
  readonly startedAt: number | undefined;
}

/** A notice with the backend server that it is about. */
export interface BackendReport extends BackendIncarnation, BackendNotice {}

/** The notice of a backend server that states nothing. */
export const EMPTY_NOTICE: BackendNotice = {
  requestsPerS: undefined,
  leaving: false,
};

/** Whether two notices state the same. */
export function isSameNotice(a: BackendNotice, b: BackendNotice): boolean {
  return a.requestsPerS === b.requestsPerS && a.leaving === b.leaving;
}

/** Whether both name the same incarnation of the same backend server. */
export function isSameIncarnation(
  a: BackendIncarnation,
  b: BackendIncarnation,
): boolean {
  return a.id === b.id && a.startedAt === b.startedAt;
}

/**
 * The notice in force at a gate. The rate of an answer goes before what peers
 * remember, which is all that a gate has after it was started again.
 */
export interface NoticeTracker {
  /** Applies an answer's notice; returns the one in force. */
  readonly observe: (notice: BackendNotice) => BackendNotice;
  /** Applies what is remembered elsewhere; returns the notice in force. */
  readonly recall: (notice: BackendNotice) => BackendNotice;
  /** Forgets everything, for another incarnation of the backend server. */
  readonly reset: () => void;
  /** The notice in force; undefined before the first one. */
  readonly current: () => BackendNotice | undefined;
}

function strictest(
  a: number | undefined,
  b: number | undefined,
): number | undefined {
  return a === undefined || b === undefined ? a ?? b : Math.min(a, b);
}

/** Creates a tracker without a notice. */
export function createNoticeTracker(): NoticeTracker {
  let current: BackendNotice | undefined;
  let isFirstHand = false;
  return {
    observe: ({ requestsPerS, leaving }) => {
      isFirstHand = true;
      // Answers that were under way when it began to leave don't say so.
      const wasLeaving = current?.leaving ?? false;
      current = { requestsPerS, leaving: leaving || wasLeaving };
      return current;
    },
    recall: (remembered) => {
      const before = current ?? EMPTY_NOTICE;
      // Peers remember different times, so the strictest rate counts until the
      // first answer.
      const requestsPerS = isFirstHand
        ? before.requestsPerS
        : strictest(before.requestsPerS, remembered.requestsPerS);
      const leaving = before.leaving || remembered.leaving;
      current = { requestsPerS, leaving };
      return current;
    },
    reset: () => {
      current = undefined;
      isFirstHand = false;
    },
    current: () => current,
  };
}

/**
 * What a node remembers of other backend servers. It is kept while their list
 * entries come and go, and sent with calls to their gates.
 */
export interface NoticeMemory {
  /** Stores a report; false if nothing changes. */
  readonly record: (report: BackendReport) => boolean;
  /** The report of a backend server that stated something. */
  readonly find: (id: string) => BackendReport | undefined;
  /** Whether this incarnation of a backend server is leaving. */
  readonly isLeaving: (incarnation: BackendIncarnation) => boolean;
}

function isOlder(a: BackendIncarnation, b: BackendIncarnation): boolean {
  return a.startedAt !== undefined && b.startedAt !== undefined &&
    a.startedAt < b.startedAt;
}

/** Creates a memory without reports; the least recent ones are dropped first. */
export function createNoticeMemory(): NoticeMemory {
  const reports = new Map<string, BackendReport>();

  /** The report with what is known to last from an earlier one. */
  function merge(
    known: BackendReport | undefined,
    report: BackendReport,
  ): BackendReport {
    if (known === undefined || !isSameIncarnation(known, report)) return report;
    return { ...report, leaving: report.leaving || known.leaving };
  }

  return {
    record: (report) => {
      const known = reports.get(report.id);
      if (known !== undefined && isOlder(report, known)) return false;
      const merged = merge(known, report);
      reports.delete(report.id);
      if (!isSameNotice(merged, EMPTY_NOTICE)) reports.set(report.id, merged);
      if (reports.size > NOTICES_MAX) {
        const [oldest] = reports.keys();
        if (oldest !== undefined) reports.delete(oldest);
      }
      return known === undefined
        ? !isSameNotice(merged, EMPTY_NOTICE)
        : !isSameIncarnation(known, merged) || !isSameNotice(known, merged);
    },
    find: (id) => reports.get(id),
    isLeaving: (incarnation) => {
      const known = reports.get(incarnation.id);
      return known !== undefined && known.leaving &&
        isSameIncarnation(known, incarnation);
    },
  };
}
