/** Reads request bodies up to a maximum size. */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";

/** Why a body can't be read: above the maximum size, or incomplete. */
export type BodyError = "too_large" | "cut_off";

/** Reads the whole body; an incomplete one is an error. */
export function readBody(
  incoming: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, BodyError>> {
  return new Promise((resolve) => {
    const contentLength = Number(incoming.headers["content-length"] ?? "0");
    if (contentLength > maxBytes) return resolve(err("too_large"));
    const chunks: Buffer[] = [];
    let size = 0;
    incoming.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) {
        incoming.pause();
        return resolve(err("too_large"));
      }
      chunks.push(chunk);
    });
    incoming.on("end", () => {
      const complete = incoming.complete;
      resolve(complete ? ok(Buffer.concat(chunks)) : err("cut_off"));
    });
    incoming.on("error", () => resolve(err("cut_off")));
    incoming.on("close", () => resolve(err("cut_off")));
  });
}
