/** Collects the bytes of a body that arrives in pieces of any size. */

import { Buffer } from "node:buffer";

/** Bytes collected so far. */
export interface ByteBuffer {
  /**
   * Copies a piece. The piece itself is not kept: it may be a few bytes of a
   * large read, or one of millions of objects.
   */
  readonly append: (piece: Uint8Array) => void;
  /** Number of bytes. */
  readonly size: () => number;
  /** Returns all bytes and empties the buffer. */
  readonly take: () => Buffer;
  /** Empties the buffer. */
  readonly clear: () => void;
}

/**
 * Segments of full size for several buffers. Segments that a buffer returns are
 * used again at once: a stream of bodies that are discarded would allocate
 * faster than the garbage collector frees.
 */
export interface SegmentPool {
  /** Returns a segment with any content. */
  readonly take: () => Buffer;
  /** Returns a segment to the pool. It must not be used after that. */
  readonly release: (segment: Buffer) => void;
}

/** Size of the first segment of a buffer, in bytes. */
const SEGMENT_MIN_BYTES = 1024;
/** Largest size of a segment, in bytes. */
const SEGMENT_MAX_BYTES = 64 * 1024;

/** Creates an empty pool, which keeps at most `maxBytes` of free segments. */
export function createSegmentPool(maxBytes: number): SegmentPool {
  const freeMax = Math.floor(maxBytes / SEGMENT_MAX_BYTES);
  const free: Buffer[] = [];
  return {
    take: () => free.pop() ?? Buffer.allocUnsafeSlow(SEGMENT_MAX_BYTES),
    release: (segment) => {
      if (free.length < freeMax) free.push(segment);
    },
  };
}

/** Creates an empty buffer; its large segments come from `pool`. */
export function createByteBuffer(pool = createSegmentPool(0)): ByteBuffer {
  /** Segments that are full. */
  let full: Buffer[] = [];
  let segment: Buffer = Buffer.alloc(0);
  let used = 0;
  let fullBytes = 0;

  function grow(pieceBytes: number): void {
    if (used > 0) full.push(segment);
    fullBytes += used;
    const bytes = Math.max(SEGMENT_MIN_BYTES, 2 * segment.length, pieceBytes);
    segment = bytes < SEGMENT_MAX_BYTES
      ? Buffer.allocUnsafeSlow(bytes)
      : pool.take();
    used = 0;
  }

  function clear(): void {
    for (const each of [...full, segment]) {
      if (each.length === SEGMENT_MAX_BYTES) pool.release(each);
    }
    full = [];
    segment = Buffer.alloc(0);
    used = 0;
    fullBytes = 0;
  }

  return {
    append: (piece) => {
      for (let start = 0; start < piece.length;) {
        if (used === segment.length) grow(piece.length - start);
        const part = piece.subarray(start, start + segment.length - used);
        segment.set(part, used);
        used += part.length;
        start += part.length;
      }
    },
    size: () => fullBytes + used,
    take: () => {
      const last = segment.subarray(0, used);
      // A single segment is handed over, so it does not go back to the pool.
      if (full.length === 0) segment = Buffer.alloc(0);
      const bytes = full.length === 0 ? last : Buffer.concat([...full, last]);
      clear();
      return bytes;
    },
    clear,
  };
}
