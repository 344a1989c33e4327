/** Requests in the form that is sent to backend servers. */

import type { Buffer } from "node:buffer";
import { createHash } from "node:crypto";

/** End-to-end headers by name in lower case. */
export type HeaderFields = Readonly<Record<string, string>>;

/** A request to a backend server, without the headers that the gate adds. */
export interface Payload {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: HeaderFields;
  readonly body: Buffer;
}

/** Picks the one response header that callers of the native protocol get. */
export function pickContentType(headers: HeaderFields): HeaderFields {
  const type = headers["content-type"];
  return type === undefined ? {} : { "content-type": type };
}

/**
 * Digest of a request: 32 hex digits of its SHA-256. Identifies requests that
 * may crash backend servers. Headers are not part of it.
 */
export function digestRequest(service: string, payload: Payload): string {
  const { method, path, body } = payload;
  const hash = createHash("sha256");
  return hash.update(`${service}\n${method} ${path}\n`).update(body)
    .digest("hex").slice(0, 32);
}
