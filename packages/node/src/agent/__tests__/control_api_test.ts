import type { News } from "@coltsfootdeal/policy";
import { expect, test } from "vitest";
import { createControlRouter } from "../control_api.ts";

const GOOD: News = { topic: "bundle/fleet", version: 2, digest: "d" };

/** Creates a caller of the routes, and records what they pass on. */
function createCaller() {
  const received: News[] = [];
  const malformed: number[] = [];
  const receive = (news: readonly News[]) => {
    received.push(...news);
  };
  const router = createControlRouter({
    identity: () => ({
      instance: "i-1",
      incarnation: "1",
      ready: true,
      readsPlatform: false,
    }),
    push: receive,
    inform: receive,
    compare: ({ recent }) => {
      receive(recent);
      return { recent: [] };
    },
    offer: () => {},
    differing: () => [],
    pull: () => [],
    onMalformedNews: (items) => malformed.push(items),
  });
  return { caller: router.createCaller({}), received, malformed };
}

const MALFORMED: readonly (readonly [string, unknown])[] = [
  ["a long topic", { ...GOOD, topic: "t".repeat(300) }],
  ["a long value", { ...GOOD, value: "v".repeat(100_000) }],
  ["a version too large", { ...GOOD, version: 1e300 }],
  ["a version of another type", { ...GOOD, version: "2" }],
  ["no news", null],
];

test.each(MALFORMED)(
  "an item with %s holds back no others",
  async (_t, item) => {
    const { caller, received, malformed } = createCaller();
    await caller.push([item, GOOD]);
    await caller.inform([GOOD, item]);
    await caller.compare({ settled: 0, recent: [item, GOOD] });
    expect(received).toEqual([GOOD, GOOD, GOOD]);
    expect(malformed).toEqual([1, 1, 1]);
  },
);

test("the death of a backend server with 1,000 runs is received", async () => {
  const { caller, received } = createCaller();
  const digests = Array.from({ length: 1_000 }, () => "0".repeat(32));
  const death = { ...GOOD, topic: "death/i", value: JSON.stringify(digests) };
  await caller.push([death]);
  expect(received).toHaveLength(1);
});
