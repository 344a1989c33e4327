/** The audit trail: what changed, on standard output and in recent memory. */

import type { Clock } from "@coltsfootdeal/kernel";
import { AUDIT_RECORDS_MAX } from "../constants.ts";
import type { Log, LogFields } from "../log.ts";

/** The changes that are recorded. */
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
  | "platform_reachable"
  | "platform_unreachable"
  | "backend_died"
  | "backend_leaving"
  | "paused"
  | "draining"
  | "drained";

/** One recorded change. */
export interface AuditRecord {
  /** Counts from 1 in each incarnation. */
  readonly sequence: number;
  /** Wall-clock time, for people only. */
  readonly time: string;
  /** Milliseconds since the start of the process. */
  readonly sinceStartMs: number;
  readonly event: AuditEvent;
  readonly fields: LogFields;
}

/** The audit trail of one node. */
export interface Audit {
  readonly record: (event: AuditEvent, fields?: LogFields) => void;
  /** Recent records after a sequence number. */
  readonly after: (sequence: number) => readonly AuditRecord[];
  readonly close: () => void;
}

/** Creates an empty trail. */
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
