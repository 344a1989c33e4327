/** The record of a case: what was sent, answered and run. */

import { writeFileSync } from "node:fs";

/** Adds a line to the record. */
export type Record = (line: string) => void;

/** A record that is kept until it is written to a file. */
export interface RecordFile {
  readonly add: Record;
  readonly write: (path: string) => void;
}

/** Creates an empty record; each line begins with the time since then. */
export function createRecord(): RecordFile {
  const startedAt = performance.now();
  const lines: string[] = [];
  return {
    add: (line) => {
      const seconds = (performance.now() - startedAt) / 1_000;
      lines.push(`${seconds.toFixed(3).padStart(8)} ${line}`);
    },
    write: (path) => writeFileSync(path, `${lines.join("\n")}\n`),
  };
}
