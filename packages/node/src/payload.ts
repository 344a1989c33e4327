/** Requests as they are passed on to backend servers. */

import type { Buffer } from "node:buffer";
import { createHash } from "node:crypto";

/** End-to-end headers; names are in lower case. */
export type HeaderFields = Readonly<Record<string, string>>;

/** What a backend server is sent, apart from what the gate adds. */
export interface Payload {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: HeaderFields;
  readonly body: Buffer;
}

/** The only header of a backend server that callers of the own interface get. */
export function pickContentType(headers: HeaderFields): HeaderFields {
  const type = headers["content-type"];
  return type === undefined ? {} : { "content-type": type };
}

/** Digest of what a backend server runs, by which suspects are known. */
export function digestRequest(service: string, payload: Payload): string {
  const { method, path, body } = payload;
  const hash = createHash("sha256");
  return hash.update(`${service}\n${method} ${path}\n`).update(body)
    .digest("hex").slice(0, 32);
}
