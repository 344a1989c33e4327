/** Splits the byte stream of a link into messages. */

import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import {
  decodeFrame,
  FRAME_MAX_BYTES,
  LENGTH_PREFIX_BYTES,
  type LinkMessage,
} from "./messages.ts";

/** Decodes length-prefixed frames that may arrive in any pieces. */
export interface FrameReader {
  /**
   * Adds bytes and returns the messages that are complete. After an error,
   * nothing more can be read from the stream.
   */
  readonly read: (bytes: Buffer) => Result<readonly LinkMessage[], string>;
}

/** Creates a reader for a new stream; frames above `maxBytes` are an error. */
export function createFrameReader(
  maxBytes: number = FRAME_MAX_BYTES,
): FrameReader {
  let chunks: Buffer[] = [];
  /** Total size of the chunks, in bytes. */
  let size = 0;

  /** Removes the first bytes from the chunks. */
  function take(count: number): Buffer {
    const buffered = chunks.length === 1 && chunks[0] !== undefined
      ? chunks[0]
      : Buffer.concat(chunks);
    const rest = buffered.subarray(count);
    chunks = rest.length > 0 ? [rest] : [];
    size -= count;
    return buffered.subarray(0, count);
  }

  /** Reads the length prefix, which may span chunks, without removing it. */
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
        if (length > maxBytes) {
          return err(`frame of ${length} bytes exceeds ${maxBytes} bytes`);
        }
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
