import { Buffer } from "node:buffer";
import fc from "fast-check";
import { expect, test } from "vitest";
import { createByteBuffer, createSegmentPool } from "../byte_buffer.ts";

test("bytes come back in order, whatever the pieces", () => {
  const pieces = fc.array(
    fc.tuple(
      fc.uint8Array({ maxLength: 40 }),
      fc.integer({ min: 1, max: 4e3 }),
    ),
    { maxLength: 20 },
  );
  // Shared, so that what was left in a segment shows.
  const pool = createSegmentPool(256 * 1024);
  fc.assert(fc.property(pieces, (drawn) => {
    const buffer = createByteBuffer(pool);
    const all = drawn.map(([piece, times]) =>
      Buffer.concat(Array.from({ length: times }, () => piece))
    );
    for (const piece of all) buffer.append(piece);
    expect(buffer.size()).toBe(Buffer.concat(all).length);
    expect(buffer.take().equals(Buffer.concat(all))).toBe(true);
    expect(buffer.size()).toBe(0);
    expect(buffer.take()).toHaveLength(0);
  }));
});

// Guards against bodies whose pieces take many times the bytes that are counted.
test("pieces of one byte take no more memory than their bytes", () => {
  const count = 2 * 1024 * 1024;
  const used = () => {
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
  };
  const read = Buffer.alloc(count);
  const before = used();
  const buffer = createByteBuffer();
  for (let index = 0; index < count; index++) {
    buffer.append(read.subarray(index, index + 1));
  }
  // What the pieces leave for the garbage collector is bounded by its own heap.
  expect(used() - before).toBeLessThan(32 * 1024 * 1024);
  expect(buffer.size()).toBe(count);
});

test("a piece keeps nothing of the read that it is a part of", () => {
  const read = Buffer.alloc(64 * 1024, 1);
  const buffer = createByteBuffer();
  buffer.append(read.subarray(0, 10));
  const bytes = buffer.take();
  expect(bytes.buffer).not.toBe(read.buffer);
  expect(bytes.buffer.byteLength).toBeLessThanOrEqual(1024);
});

// Guards against discarded bodies that pile up until the garbage collector runs:
// a backend server that sends bytes without end outruns it.
test("discarded bodies leave no memory to collect", () => {
  const piece = Buffer.alloc(64 * 1024, 1);
  const pool = createSegmentPool(2 * 1024 * 1024);
  const before = process.memoryUsage().arrayBuffers;
  for (let round = 0; round < 256; round++) {
    const buffer = createByteBuffer(pool);
    for (let count = 0; count < 16; count++) buffer.append(piece);
    buffer.clear();
    expect(buffer.size()).toBe(0);
  }
  const grown = process.memoryUsage().arrayBuffers - before;
  expect(grown).toBeLessThan(2 * 1024 * 1024);
});

test("bytes that were taken are not overwritten by later bodies", () => {
  const pool = createSegmentPool(1024 * 1024);
  for (const size of [10, 64 * 1024, 65 * 1024, 300 * 1024]) {
    const first = createByteBuffer(pool);
    first.append(Buffer.alloc(size, 1));
    const bytes = first.take();
    first.clear();
    const second = createByteBuffer(pool);
    second.append(Buffer.alloc(2 * size, 2));
    expect(bytes.equals(Buffer.alloc(size, 1))).toBe(true);
  }
});
