/** Structured log events, written as JSON lines to standard output. */

import "./log_switch.ts";
import process from "node:process";
import { ROARR, Roarr } from "roarr";
import { LOG_BUFFER_MAX_BYTES } from "./constants.ts";

/** Fields of a log event. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | null | undefined>
>;

/** Writes log events by level. */
export interface Log {
  readonly info: (event: string, fields?: LogFields) => void;
  readonly warn: (event: string, fields?: LogFields) => void;
  readonly error: (event: string, fields?: LogFields) => void;
}

/** Sends all log events of the process to standard output. */
export function writeLogsToStandardOutput(): void {
  let omitted = 0;
  ROARR.write = (message: string) => {
    // A reader of standard output that does not keep up costs log lines, but
    // neither memory nor time: lines are dropped and counted, not awaited.
    if (process.stdout.writableLength > LOG_BUFFER_MAX_BYTES) {
      omitted++;
      return;
    }
    if (omitted > 0) {
      process.stdout.write(
        `{"message":"log.buffer_full","omitted":${omitted}}\n`,
      );
      omitted = 0;
    }
    process.stdout.write(`${message}\n`);
  };
}

/** Creates a log whose events carry the id of the instance. */
export function createLog(instance: string): Log {
  const logger = Roarr.child({ application: "coltsfootdeal-node", instance });
  return {
    info: (event, fields = {}) => logger.info({ event, ...fields }, event),
    warn: (event, fields = {}) => logger.warn({ event, ...fields }, event),
    error: (event, fields = {}) => logger.error({ event, ...fields }, event),
  };
}

/** Creates a log that discards all events. */
export function createSilentLog(): Log {
  const ignore = () => {};
  return { info: ignore, warn: ignore, error: ignore };
}
