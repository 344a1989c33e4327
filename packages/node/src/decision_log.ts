/**
 * Log lines for decisions about requests, within a budget: a flood of requests
 * leaves out lines and says how many.
 */

import type { Clock } from "@coltsfootdeal/kernel";
import {
  DECISION_LOG_BURST_LINES,
  DECISION_LOG_LINES_PER_S,
  DECISION_LOG_REPORT_PERIOD_MS,
} from "./constants.ts";
import type { Log, LogFields } from "./log.ts";

/** A log of decisions. */
export interface DecisionLog {
  readonly record: (event: string, fields: LogFields) => void;
  readonly close: () => void;
}

/** Creates a log with a full budget. */
export function createDecisionLog(log: Log, clock: Clock): DecisionLog {
  let tokens = DECISION_LOG_BURST_LINES;
  let refilledAt = clock.now();
  let omitted = 0;

  function take(): boolean {
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
      if (take()) log.info(event, fields);
      else omitted++;
    },
    close: report.close,
  };
}
