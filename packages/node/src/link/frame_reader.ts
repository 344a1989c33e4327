/** Splits the byte stream of a link into messages. */

import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import {
  decodeFrame,
  FRAME_MAX_BYTES,
  LENGTH_PREFIX_BYTES,
  type LinkMessage,
} from "./messages.ts";

/** Splits a byte stream into frames. */
export interface FrameReader {
  /** Adds bytes and returns the messages that are complete. */
  readonly read: (bytes: Buffer) => Result<readonly LinkMessage[], string>;
}

/** Creates a reader at the beginning of a stream. */
export function createFrameReader(
  maxBytes: number = FRAME_MAX_BYTES,
): FrameReader {
  let chunks: Buffer[] = [];
  let size = 0;

  function take(count: number): Buffer {
    const all = chunks.length === 1 && chunks[0] !== undefined
      ? chunks[0]
      : Buffer.concat(chunks);
    const rest = all.subarray(count);
    chunks = rest.length > 0 ? [rest] : [];
    size -= count;
    return all.subarray(0, count);
  }

  function peekLength(): number {
    const [first] = chunks;
    if (first !== undefined && first.length >= LENGTH_PREFIX_BYTES) {
      return first.readUInt32BE(0);
    }
    const joined = Buffer.concat(chunks);
    chunks = [joined];
    return joined.readUInt32BE(0);
  }

  return {
    read: (bytes) => {
      chunks.push(bytes);
      size += bytes.length;
      const messages: LinkMessage[] = [];
      while (size >= LENGTH_PREFIX_BYTES) {
        const length = peekLength();
        if (length > maxBytes) return err(`frame of ${length} bytes`);
        if (size < LENGTH_PREFIX_BYTES + length) break;
        const frame = take(LENGTH_PREFIX_BYTES + length);
        const message = decodeFrame(frame.subarray(LENGTH_PREFIX_BYTES));
        if (message.isErr()) return err(message.error);
        messages.push(message.value);
      }
      return ok(messages);
    },
  };
}
