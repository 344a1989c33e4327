/** Combines the frames written in one turn of the event loop into one write. */

import type { Writable } from "node:stream";

/** Queues a frame; it is flushed at the end of this turn of the event loop. */
export function writeFrame(stream: Writable, frame: Uint8Array): void {
  if (stream.writableCorked === 0) {
    stream.cork();
    setImmediate(() => stream.uncork());
  }
  stream.write(frame);
}
