/** Logs what the backend server states and the rate at which it gets calls. */

import type { BackendNotice } from "@coltsfootdeal/policy";
import type { LogFields } from "../log.ts";

/** Shortest period that a log event about the rate of calls covers. */
const RATE_LOG_PERIOD_MS = 1_000;

/** Writes log events about the backend server's notices. */
export interface NoticeLog {
  /** Logs a notice that differs from the one before. */
  readonly changed: (
    backend: string | undefined,
    notice: BackendNotice,
  ) => void;
  /** Counts a call that is sent; logs the rate while there is a limit. */
  readonly sent: (now: number) => void;
}

/** Creates a log that passes its events to `record`. */
export function createNoticeLog(
  record: (event: string, fields: LogFields) => void,
): NoticeLog {
  let stated: BackendNotice | undefined;
  let calls = 0;
  let since = 0;

  return {
    changed: (backend, notice) => {
      stated = notice;
      record("gate.backend_notice", { backend, ...notice });
    },
    sent: (now) => {
      const periodMs = now - since;
      if (
        stated?.requestsPerS !== undefined && periodMs >= RATE_LOG_PERIOD_MS
      ) {
        record("gate.rate", {
          requestsPerS: stated.requestsPerS,
          calls,
          periodMs: Math.round(periodMs),
        });
      }
      if (periodMs >= RATE_LOG_PERIOD_MS) {
        calls = 0;
        since = now;
      }
      calls++;
    },
  };
}
