/** Structured logs on standard output. */

import "./log_switch.ts";
import process from "node:process";
import { ROARR, Roarr } from "roarr";
import { LOG_BUFFER_MAX_BYTES } from "./constants.ts";

/** Values that a log event carries. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | null | undefined>
>;

/** Writes log events; each has a name and fields. */
export interface Log {
  readonly info: (event: string, fields?: LogFields) => void;
  readonly warn: (event: string, fields?: LogFields) => void;
  readonly error: (event: string, fields?: LogFields) => void;
}

/** Sends all log events of the process to standard output. */
export function writeLogsToStandardOutput(): void {
  let omitted = 0;
  ROARR.write = (message: string) => {
    // A reader that does not keep up costs lines, never memory or time.
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

/** Creates the log of one instance. */
export function createLog(instance: string): Log {
  const logger = Roarr.child({ application: "coltsfootdeal-node", instance });
  return {
    info: (event, fields = {}) => logger.info({ event, ...fields }, event),
    warn: (event, fields = {}) => logger.warn({ event, ...fields }, event),
    error: (event, fields = {}) => logger.error({ event, ...fields }, event),
  };
}

/** Creates a log that writes nothing. */
export function createSilentLog(): Log {
  const ignore = () => {};
  return { info: ignore, warn: ignore, error: ignore };
}
