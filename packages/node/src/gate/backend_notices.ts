/**
 * What the gate knows of its backend server's notices, from its answers and
 * from what peers remember, with the log of their changes.
 */

import {
  type BackendIncarnation,
  type BackendNotice,
  type BackendReport,
  createNoticeTracker,
  EMPTY_NOTICE,
  isSameIncarnation,
  isSameNotice,
} from "@coltsfootdeal/policy";
import type { LogFields } from "../log.ts";

/** Shortest period that a log event about the rate of calls covers. */
const RATE_LOG_PERIOD_MS = 1_000;

/** Resolved configuration of a gate's notices. */
export interface BackendNoticesConfig {
  /** The listed backend server; undefined while none is known. */
  readonly backend: () => BackendIncarnation | undefined;
  /** Receives log events. */
  readonly record: (event: string, fields: LogFields) => void;
}

/** The notices of one gate's backend server. */
export interface BackendNotices {
  /** Whether an answer's notice is the one in force already. */
  readonly isKnown: (notice: BackendNotice) => boolean;
  /**
   * Applies the notice of an answer to a call that was sent to `sentTo`. Returns
   * false if nothing changes.
   */
  readonly observe: (
    sentTo: BackendIncarnation,
    notice: BackendNotice,
  ) => boolean;
  /** Applies what another node remembers; false if nothing changes. */
  readonly recall: (remembered: BackendReport) => boolean;
  /** Forgets everything, as another backend server is listed. */
  readonly reset: () => void;
  /** The notice in force; empty while nothing is known. */
  readonly current: () => BackendNotice;
  /** The notice in force for other nodes; undefined while nothing is known. */
  readonly report: () => BackendReport | undefined;
  /** Counts a call that is sent; logs the rate while one is named. */
  readonly countSent: (now: number) => void;
}

/** Creates the notices of a backend server that has stated nothing. */
export function createBackendNotices(
  config: BackendNoticesConfig,
): BackendNotices {
  const { record } = config;
  const tracker = createNoticeTracker();
  let calls = 0;
  let countedSince = 0;

  function current(): BackendNotice {
    return tracker.current() ?? EMPTY_NOTICE;
  }

  /** Applies a change if it is about the listed backend server. */
  function update(
    about: BackendIncarnation,
    apply: () => BackendNotice,
  ): boolean {
    const backend = config.backend();
    // The backend server may have been replaced meanwhile.
    if (backend === undefined || !isSameIncarnation(about, backend)) {
      return false;
    }
    const before = current();
    const next = apply();
    if (isSameNotice(before, next)) return false;
    record("gate.backend_notice", { backend: backend.id, ...next });
    return true;
  }

  return {
    isKnown: (notice) => {
      const known = tracker.current();
      return known !== undefined && isSameNotice(known, notice);
    },
    observe: (sentTo, notice) => update(sentTo, () => tracker.observe(notice)),
    recall: (remembered) =>
      update(remembered, () => tracker.recall(remembered)),
    reset: tracker.reset,
    current,
    report: () => {
      const backend = config.backend();
      const notice = tracker.current();
      if (backend === undefined || notice === undefined) return undefined;
      const { id, startedAt } = backend;
      return { id, startedAt, ...notice };
    },
    countSent: (now) => {
      const periodMs = now - countedSince;
      if (periodMs >= RATE_LOG_PERIOD_MS) {
        const { requestsPerS } = current();
        const fields = { requestsPerS, calls, periodMs: Math.round(periodMs) };
        if (requestsPerS !== undefined) record("gate.rate", fields);
        calls = 0;
        countedSince = now;
      }
      calls++;
    },
  };
}
