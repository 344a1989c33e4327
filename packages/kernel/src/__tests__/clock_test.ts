import { getEventListeners } from "node:events";
import { expect, test } from "vitest";
import { createSystemClock, sleep } from "../clock.ts";

const clock = createSystemClock();

test("a wait leaves nothing behind on a signal that outlives it", async () => {
  const { signal } = new AbortController();
  for (let index = 0; index < 20; index++) await sleep(clock, 1, signal);
  expect(getEventListeners(signal, "abort")).toHaveLength(0);
});

test("an abort ends a wait, before or while it waits", async () => {
  const aborted = sleep(clock, 60_000, AbortSignal.abort());
  const abort = new AbortController();
  const interrupted = sleep(clock, 60_000, abort.signal);
  abort.abort();
  await Promise.all([aborted, interrupted]);
});
