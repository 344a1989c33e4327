import { createSystemClock, sleep } from "@coltsfootdeal/kernel";
import { err, ok } from "neverthrow";
import { afterEach, expect, test } from "vitest";
import type { Feed, PlatformInstance } from "../feed.ts";
import type { PlatformChanges, WatchQuery } from "../platform_client.ts";
import { createPlatformWatch } from "../platform_watch.ts";
import { orderOf } from "../position.ts";

let feed: Feed;

afterEach(() => feed.close());

function instance(id: string, revision: number): PlatformInstance {
  return {
    id,
    service: "seals",
    dataCentre: "east",
    address: "10.0.0.1:1",
    control: "10.0.0.1:2",
    state: "live",
    revision,
  };
}

/** Runs a feed on scripted answers; the read after the last one hangs. */
function runFeed(script: readonly PlatformChanges<PlatformInstance>[]) {
  const queries: WatchQuery[] = [];
  const delivered: PlatformInstance[] = [];
  async function hang(signal: AbortSignal) {
    await sleep(createSystemClock(), 60_000, signal);
    return err("unreachable" as const);
  }
  feed = createPlatformWatch({
    clock: createSystemClock(),
    platform: {
      values: (_query, signal) => hang(signal),
      instances: (query, signal) => {
        const answer = script[queries.length];
        queries.push(query);
        return answer === undefined
          ? hang(signal)
          : Promise.resolve(ok(answer));
      },
    },
    onValues: () => {},
    onInstances: (instances) => delivered.push(...instances),
    onListed: () => {},
    knownInstances: () => [],
    onReachabilityChange: () => {},
  });
  feed.start();
  return { queries, delivered };
}

test("a platform that comes back with an earlier state is read again from the start", async () => {
  const { queries, delivered } = runFeed([
    { position: { era: 1, revision: 90 }, items: [instance("i-1", 80)] },
    { position: { era: 2, revision: 95 }, items: [instance("i-2", 93)] },
    {
      position: { era: 2, revision: 95 },
      items: [instance("i-1", 40), instance("i-2", 93)],
    },
  ]);
  await expect.poll(() => queries.length).toBe(4);
  expect(queries.map(({ after }) => after)).toEqual([0, 90, 0, 95]);
  expect(delivered.map(({ id, revision }) => [id, revision])).toEqual([
    ["i-1", orderOf({ era: 1, revision: 80 })],
    ["i-1", orderOf({ era: 2, revision: 40 })],
    ["i-2", orderOf({ era: 2, revision: 93 })],
  ]);
});

test("an answer of an earlier era changes nothing", async () => {
  const { queries, delivered } = runFeed([
    { position: { era: 2, revision: 40 }, items: [instance("i-1", 30)] },
    { position: { era: 1, revision: 90 }, items: [instance("i-1", 85)] },
  ]);
  await expect.poll(() => queries.length).toBe(3);
  expect(queries[2]).toMatchObject({ after: 40 });
  expect(delivered).toHaveLength(1);
});
