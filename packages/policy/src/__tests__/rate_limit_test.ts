import fc from "fast-check";
import { expect, test } from "vitest";
import { RATE_BURST_MS, RATE_MIN_PER_S } from "../constants.ts";
import { createRateLimit } from "../rate_limit.ts";

/** Times of the calls that were sent when one was offered at each time. */
function sendAt(
  offeredAt: readonly number[],
  callsPerS: number,
): readonly number[] {
  const limit = createRateLimit();
  limit.set(callsPerS, 0);
  return offeredAt.filter((now) => {
    const allowed = limit.allows(now);
    if (allowed) limit.take(now);
    return allowed;
  });
}

test("any span gets at most what the rate allows, and one burst", () => {
  fc.assert(fc.property(
    fc.double({ min: 0.1, max: 200, noNaN: true }),
    fc.array(fc.double({ min: 0, max: 400, noNaN: true }), { maxLength: 300 }),
    fc.double({ min: 1, max: 10_000, noNaN: true }),
    (callsPerS, gaps, spanMs) => {
      let at = 0;
      const sent = sendAt(gaps.map((gap) => at += gap), callsPerS);
      const rate = Math.max(RATE_MIN_PER_S, callsPerS);
      const burst = Math.max(1, (rate * RATE_BURST_MS) / 1_000);
      for (const from of sent) {
        const inSpan = sent.filter((t) => t >= from && t < from + spanMs);
        expect(inSpan.length)
          .toBeLessThanOrEqual((rate * spanMs) / 1_000 + burst + 1e-6);
      }
    },
  ));
});

test("a changed rate gives no second burst", () => {
  const limit = createRateLimit();
  limit.set(100, 0);
  let sent = 0;
  for (let now = 0; now < 1_000; now++) {
    limit.set(100 + now % 2, now);
    if (!limit.allows(now)) continue;
    limit.take(now);
    sent++;
  }
  expect(sent).toBeLessThanOrEqual(101 + 100 * RATE_BURST_MS / 1_000 + 1);
});

test("a rate of 0 still sends a call now and then", () => {
  const offeredAt = Array.from({ length: 1_000 }, (_, index) => index * 10);
  const sent = sendAt(offeredAt, 0);
  expect(sent.length).toBeGreaterThan(1);
  expect(sent.length).toBeLessThanOrEqual(10 * RATE_MIN_PER_S + 1);
});
