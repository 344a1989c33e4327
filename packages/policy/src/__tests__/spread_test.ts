import fc from "fast-check";
import { expect, test } from "vitest";
import { GOSSIP_MESSAGE_ITEMS_MAX, SETTLED_AFTER_MS } from "../constants.ts";
import { createGossipState, type GossipState } from "../spread.ts";

function createSeededRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

/** One full comparison between two nodes. */
function compare(a: GossipState, b: GossipState, now: number): void {
  const comparison = a.compare(now);
  b.receive(comparison.recent, now);
  const reply = b.reply(comparison, now);
  a.receive(reply.recent, now);
  if (reply.buckets === undefined) return;
  const mine = a.differing(reply.buckets, now);
  a.receive(b.differing(a.buckets(now), now), now);
  b.receive(mine, now);
}

test("news reaches all nodes despite loss, duplicates, pauses and partitions", () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 2, max: 30 }),
      fc.integer({ min: 1, max: 1_000_000 }),
      fc.double({ min: 0, max: 0.5, noNaN: true }),
      (count, seed, loss) => {
        const random = createSeededRandom(seed);
        const nodes = Array.from({ length: count }, () => createGossipState());
        const indexes = nodes.map((_, index) => index);
        let now = 0;
        let highest = 0;
        const paused = Math.floor(random() * count);
        for (let round = 0; round < 60; round++) {
          now += 200;
          if (round < 10) {
            const version = 1 + Math.floor(random() * 5);
            highest = Math.max(highest, version);
            const at = nodes[Math.floor(random() * count)];
            at?.receive([{ topic: "t", version, digest: `${version}` }], now);
          }
          // The nodes are partitioned into two halves until round 30.
          const partitioned = round < 30;
          for (const [index, node] of nodes.entries()) {
            if (index === paused && round < 40) continue;
            for (
              const { peer, news } of node.pushRound(indexes, { now, random })
            ) {
              const separated = partitioned && (peer % 2) !== (index % 2);
              if (separated || random() < loss) continue;
              nodes[peer]?.receive(news, now);
              if (random() < 0.2) nodes[peer]?.receive(news, now);
            }
            const peer = Math.floor(random() * count);
            const other = nodes[peer];
            const separated = partitioned && (peer % 2) !== (index % 2);
            if (other && !separated && round % 5 === 0) {
              compare(node, other, now);
            }
          }
        }
        const last = nodes.map((node) => node.find("t")?.version);
        expect(last).toEqual(nodes.map(() => highest));
      },
    ),
    { numRuns: 60 },
  );
});

test("differences of settled news are found by bucket hashes", () => {
  const a = createGossipState();
  const b = createGossipState();
  for (let index = 0; index < 1_000; index++) {
    const news = { topic: `t-${index}`, version: 1, digest: "x" };
    a.receive([news], 0);
    if (index !== 500) b.receive([news], 0);
  }
  const now = SETTLED_AFTER_MS * 2;
  expect(a.compare(now).recent).toEqual([]);
  compare(b, a, now);
  expect(b.find("t-500")).toBeDefined();
});

test("news with a lifetime expires on every node", () => {
  const a = createGossipState();
  const b = createGossipState();
  const news = { topic: "fact/x", version: 1, digest: "x", lifeMs: 1_000 };
  a.receive([news], 0);
  b.receive(a.compare(600).recent, 600);
  expect(b.find("fact/x")?.lifeMs).toBe(400);
  b.pushRound([1], { now: 1_001, random: () => 0 });
  expect(b.find("fact/x")).toBeUndefined();
});

test("a reply tells whether there is more recent news than it can hold", () => {
  const state = createGossipState();
  const news = Array.from({ length: GOSSIP_MESSAGE_ITEMS_MAX }, (_, index) => ({
    topic: `instance/${index}`,
    version: 1,
    digest: "d",
  }));
  const nothing = { settled: 0, recent: [] };
  state.receive(news.slice(1), 0);
  expect(state.reply(nothing, 0).truncated).toBeUndefined();
  state.receive(news, 0);
  expect(state.reply(nothing, 0).truncated).toBe(true);
  expect(state.reply(nothing, SETTLED_AFTER_MS).truncated).toBeUndefined();
});
