import { Buffer } from "node:buffer";
import fc from "fast-check";
import { expect, test } from "vitest";
import { createFrameReader } from "../frame_reader.ts";
import { decodeFrame, encodeFrame, type LinkMessage } from "../messages.ts";

const text = fc.string();
const count = fc.nat();
const body = fc.uint8Array().map((bytes) => Buffer.from(bytes));
const headers = fc.dictionary(text.filter((key) => key !== "__proto__"), text)
  .map((fields) => ({ ...fields }));

const backendReport = fc.record({
  id: text,
  startedAt: fc.option(count, { nil: undefined }),
  requestsPerS: fc.option(count, { nil: undefined }),
  leaving: fc.boolean(),
});

const run = fc.record({
  kind: fc.constant("run" as const),
  id: count,
  service: text,
  remainingMs: count,
  version: text,
  call: fc.record({
    id: text,
    requestId: text,
    kind: text,
    level: count,
    weight: count,
    account: text,
    caller: text,
    retryAllowance: count,
    exclusive: fc.boolean(),
    remembered: fc.option(backendReport, { nil: undefined }),
    payload: fc.record({ method: text, path: text, headers, body }),
  }),
});

const reply = fc.record({
  kind: fc.constant("reply" as const),
  id: count,
  answer: fc.record({
    outcome: fc.oneof(
      fc.constant({ kind: "answered" as const }),
      fc.record({
        kind: fc.constant("refused" as const),
        reason: fc.constant("overload" as const),
        retryAfterMs: count,
      }),
      fc.record({
        kind: fc.constant("failed" as const),
        starved: fc.boolean(),
      }),
    ),
    status: fc.option(fc.integer({ min: 100, max: 599 }), { nil: undefined }),
    headers,
    body,
  }),
  unusedRetries: count,
  report: fc.record({
    inFlight: count,
    queued: count,
    limit: count,
    acceptLevel: count,
    leaving: fc.boolean(),
    slotMs: count,
    usualMs: count,
    nested: fc.boolean(),
  }),
  instance: text,
  incarnation: text,
  death: fc.constant(undefined),
  stated: fc.option(backendReport, { nil: undefined }),
});

const message: fc.Arbitrary<LinkMessage> = fc.oneof(
  run,
  reply,
  fc.record({ kind: fc.constant("cancel" as const), id: count }),
  fc.constant({ kind: "ping" as const }),
);

test("decodes messages from a byte stream split at any place", () => {
  fc.assert(fc.property(
    fc.array(message, { maxLength: 5 }),
    fc.array(fc.integer({ min: 1, max: 50 }), { minLength: 1 }),
    (messages, chunkSizes) => {
      const stream = Buffer.concat(messages.map(encodeFrame));
      const reader = createFrameReader();
      const decoded: LinkMessage[] = [];
      let index = 0;
      for (let at = 0; at < stream.length;) {
        const size = chunkSizes[index++ % chunkSizes.length] ?? 1;
        const chunk = stream.subarray(at, at + size);
        decoded.push(...reader.read(chunk)._unsafeUnwrap());
        at += size;
      }
      expect(decoded).toEqual(messages);
    },
  ));
});

test("decodes any bytes to a message or an error with a text", () => {
  fc.assert(fc.property(fc.uint8Array(), (bytes) => {
    const decoded = decodeFrame(bytes);
    if (decoded.isErr()) expect(decoded.error).not.toBe("");
  }));
});

test("refuses a frame above the maximum size before reading its content", () => {
  const reader = createFrameReader(10);
  const lengthPrefix = Buffer.alloc(4);
  lengthPrefix.writeUInt32BE(11, 0);
  expect(reader.read(lengthPrefix)._unsafeUnwrapErr()).toBe(
    "frame of 11 bytes exceeds 10 bytes",
  );
});
