/** Reads whole bodies within a bound. */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";

/** Why a body could not be read. */
export type BodyError = "too_large" | "cut_off";

/** Reads a request's body; a short one is an error, never a short body. */
export function readBody(
  incoming: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, BodyError>> {
  return new Promise((resolve) => {
    const stated = Number(incoming.headers["content-length"] ?? "0");
    if (stated > maxBytes) return resolve(err("too_large"));
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
      const whole = incoming.complete;
      resolve(whole ? ok(Buffer.concat(chunks)) : err("cut_off"));
    });
    incoming.on("error", () => resolve(err("cut_off")));
    incoming.on("close", () => resolve(err("cut_off")));
  });
}
