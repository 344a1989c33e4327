/**
 * Rate-limited log of events about single requests. Lines above the rate are
 * omitted and their number is logged.
 */

import type { Clock } from "@coltsfootdeal/kernel";
import {
  DECISION_LOG_BURST_LINES,
  DECISION_LOG_LINES_PER_S,
  DECISION_LOG_REPORT_PERIOD_MS,
} from "./constants.ts";
import type { Log, LogFields } from "./log.ts";

/** Log of events about single requests. */
export interface DecisionLog {
  /** Writes an event, or counts it as omitted. */
  readonly record: (event: string, fields: LogFields) => void;
  readonly close: () => void;
}

/** Creates a log whose token bucket is full. */
export function createDecisionLog(log: Log, clock: Clock): DecisionLog {
  let tokens = DECISION_LOG_BURST_LINES;
  let refilledAt = clock.now();
  let omitted = 0;

  function takeToken(): boolean {
    const now = clock.now();
    const earned = ((now - refilledAt) * DECISION_LOG_LINES_PER_S) / 1_000;
    tokens = Math.min(DECISION_LOG_BURST_LINES, tokens + earned);
    refilledAt = now;
    if (tokens < 1) return false;
    tokens--;
    return true;
  }

  const report = clock.every(DECISION_LOG_REPORT_PERIOD_MS, () => {
    if (omitted === 0) return;
    log.warn("log.lines_omitted", { lines: omitted });
    omitted = 0;
  });

  return {
    record: (event, fields) => {
      if (takeToken()) log.info(event, fields);
      else omitted++;
    },
    close: report.close,
  };
}
