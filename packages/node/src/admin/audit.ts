/** Audit trail of state changes: logged, and the latest kept in memory. */

import type { Clock } from "@coltsfootdeal/kernel";
import { AUDIT_RECORDS_MAX } from "../constants.ts";
import type { Log, LogFields } from "../log.ts";

/** Names of the recorded changes. */
export type AuditEvent =
  | "started"
  | "ready"
  | "bundle_in_force"
  | "bundle_refused"
  | "bundle_stale"
  | "instance_listed"
  | "instance_gone"
  | "instance_leaving"
  | "reader_started"
  | "reader_stopped"
  | "platform_checked"
  | "knowledge_regained"
  | "watch_behind"
  | "news_malformed"
  | "platform_reachable"
  | "platform_unreachable"
  | "backend_listed"
  | "backend_unlisted"
  | "backend_died"
  | "backend_leaving"
  | "paused"
  | "draining"
  | "drained";

/** One recorded change. */
export interface AuditRecord {
  /** Number of the record, from 1 in each incarnation. */
  readonly sequence: number;
  /** Wall-clock time in ISO 8601, for display; `sequence` gives the order. */
  readonly time: string;
  /** Milliseconds since the start of the process. */
  readonly sinceStartMs: number;
  readonly event: AuditEvent;
  readonly fields: LogFields;
}

/** The audit trail of one node. */
export interface Audit {
  /** Logs a change and keeps its record in memory. */
  readonly record: (event: AuditEvent, fields?: LogFields) => void;
  /** Returns the records in memory whose sequence is above the given one. */
  readonly after: (sequence: number) => readonly AuditRecord[];
  readonly close: () => void;
}

/** Creates an empty audit trail. */
export function createAudit(log: Log, clock: Clock): Audit {
  const records: AuditRecord[] = [];
  const startedAt = clock.now();
  let sequence = 0;
  return {
    record: (event, fields = {}) => {
      sequence++;
      records.push({
        sequence,
        time: new Date().toISOString(),
        sinceStartMs: Math.round(clock.now() - startedAt),
        event,
        fields,
      });
      if (records.length > AUDIT_RECORDS_MAX) records.shift();
      log.info(`audit.${event}`, fields);
    },
    after: (from) => records.filter((record) => record.sequence > from),
    close: () => {},
  };
}
