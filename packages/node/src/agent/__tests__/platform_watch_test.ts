import { setTimeout } from "node:timers/promises";
import { createSystemClock, sleep } from "@coltsfootdeal/kernel";
import { err, ok } from "neverthrow";
import { afterEach, expect, test } from "vitest";
import type { Feed, PlatformInstance } from "../feed.ts";
import type {
  PlatformChanges,
  PlatformClient,
  WatchQuery,
} from "../platform_client.ts";
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

async function hang(signal: AbortSignal) {
  await sleep(createSystemClock(), 60_000, signal);
  return err("unreachable" as const);
}

/** Runs a feed on scripted answers; those that are undefined never come. */
function runFeed(
  script: readonly (PlatformChanges<PlatformInstance> | undefined)[],
  values: PlatformClient["values"] = (_query, signal) => hang(signal),
) {
  const queries: WatchQuery[] = [];
  const delivered: PlatformInstance[] = [];
  feed = createPlatformWatch({
    clock: createSystemClock(),
    platform: {
      values,
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
    onWatchBehind: () => {},
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

// Guards against readers that take the silence of a dead connection for the
// absence of changes (incident 29).
test("a read that waits confirms nothing, and is given up if it misses a change", async () => {
  const position = { era: 1, revision: 90 };
  const later = { era: 1, revision: 96 };
  const answeredValues: PlatformClient["values"] = ({ waitMs }, signal) =>
    waitMs > 0 ? hang(signal) : Promise.resolve(ok({ position, items: [] }));
  const { queries, delivered } = runFeed([
    { position, items: [instance("i-1", 80)] },
    undefined,
    { position: later, items: [instance("i-2", 95)] },
  ], answeredValues);
  await expect.poll(() => queries.length).toBe(2);
  const before = feed.confirmedAt();
  await setTimeout(250);
  expect(feed.confirmedAt()).toBe(before);
  expect(await feed.check(undefined)).toBeDefined();
  expect(feed.confirmedAt()).toBeGreaterThan(before!);
  expect(delivered.map(({ id }) => id)).toEqual(["i-1", "i-2"]);
  // The check is a call of its own, and the waiting one begins again.
  await expect.poll(() => queries.length).toBe(4);
  expect(queries.map(({ after }) => after)).toEqual([0, 90, 90, 96]);
});
