/** Reads request bodies up to a maximum size. */

import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { createByteBuffer } from "./byte_buffer.ts";

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
    const body = createByteBuffer();
    incoming.on("data", (chunk: Buffer) => {
      if (body.size() + chunk.length > maxBytes) {
        incoming.pause();
        return resolve(err("too_large"));
      }
      body.append(chunk);
    });
    incoming.on("end", () => {
      const complete = incoming.complete;
      resolve(complete ? ok(body.take()) : err("cut_off"));
    });
    incoming.on("error", () => resolve(err("cut_off")));
    incoming.on("close", () => resolve(err("cut_off")));
  });
}
