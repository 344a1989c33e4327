/** Structured logs on standard output. */

import process from "node:process";
import { ROARR, Roarr } from "roarr";

/** Values that a log event carries. */
export type Fields = Readonly<
  Record<string, string | number | boolean | null | undefined>
>;

/** Writes log events; each has a name and fields. */
export interface Log {
  readonly info: (event: string, fields?: Fields) => void;
  readonly warn: (event: string, fields?: Fields) => void;
  readonly error: (event: string, fields?: Fields) => void;
}

/** Sends all log events of the process to standard output. */
export function writeLogsToStandardOutput(): void {
  ROARR.write = (message: string) => {
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
