import { setTimeout } from "node:timers/promises";
import { type Clock, createSystemClock, sleep } from "@coltsfootdeal/kernel";
import fc from "fast-check";
import { err, ok, type Result } from "neverthrow";
import { afterEach, expect, test } from "vitest";
import type { Feed, PlatformInstance } from "../feed.ts";
import {
  createKeyValueFeed,
  type StoreChange,
  type StoreError,
  type StoreListQuery,
  type StorePage,
} from "../key_feed.ts";
import { STORE_REWRITE_GRACE_MS } from "../../constants.ts";
import { orderOf, type Position } from "../position.ts";
import { createVirtualClock } from "./virtual_fleet.ts";

const BEFORE: Position = { era: 1, revision: 90 };
const LATER: Position = { era: 1, revision: 96 };
const RETURNED: Position = { era: 2, revision: 40 };
const MORE_RETURNED: Position = { era: 2, revision: 120 };

type Answer = Result<Partial<StorePage>, StoreError>;

let feed: Feed;

afterEach(() => feed.close());

function entry(id: string, revision: number): StoreChange {
  return {
    kind: "instance",
    instance: {
      id,
      service: "seals",
      dataCentre: "east",
      address: "10.0.0.1:1",
      control: "10.0.0.1:2",
      state: "live",
      revision,
    },
  };
}

/** Runs a feed on scripted answers; those that are undefined never come. */
function runFeed(
  script: readonly (Answer | undefined)[],
  clock: Clock = createSystemClock(),
) {
  const queries: (StoreListQuery | { readonly after: number })[] = [];
  const instances = new Map<string, PlatformInstance>();
  const eras: number[] = [];
  let behind = 0;
  let next = 0;

  async function answer(
    query: StoreListQuery | { readonly after: number },
    signal: AbortSignal,
  ): Promise<Result<StorePage, StoreError>> {
    queries.push(query);
    const scripted = script[next++];
    if (scripted === undefined) {
      await sleep(createSystemClock(), 60_000, signal);
      return err({ kind: "unreachable", reason: "end of script" });
    }
    return scripted.map((page) => ({
      changes: [],
      next: undefined,
      position: BEFORE,
      ...page,
    }));
  }

  feed = createKeyValueFeed({
    clock,
    reader: { list: answer, watch: answer },
    onValues: () => {},
    onInstances: (changed) => {
      for (const instance of changed) {
        const known = instances.get(instance.id);
        if (known !== undefined && known.revision >= instance.revision) {
          continue;
        }
        instances.set(instance.id, instance);
      }
    },
    onListed: () => {},
    knownInstances: () =>
      [...instances.values()].filter(({ state }) => state !== "gone"),
    onWatchBehind: () => {
      behind++;
    },
    onReachabilityChange: () => {},
    onEraChange: ({ era }) => eras.push(era),
    onForeignEntry: () => {},
  });
  feed.start();
  return {
    queries,
    instances,
    eras,
    isDone: () => next > script.length,
    behind: () => behind,
  };
}

test("a watch that a later era answers is followed by a list that is up to date", async () => {
  const { queries, instances, eras, isDone } = runFeed([
    ok({ changes: [entry("i-1", 80)] }),
    // No 410: the new era has assigned revision 90 already.
    ok({ position: MORE_RETURNED, changes: [entry("i-2", 110)] }),
    ok({
      position: MORE_RETURNED,
      changes: [entry("i-1", 35), entry("i-2", 110), entry("i-3", 60)],
    }),
  ]);
  await expect.poll(isDone).toBe(true);
  expect(queries[2]).toMatchObject({ allowsStale: false });
  expect(queries[3]).toMatchObject({ after: MORE_RETURNED.revision });
  expect([...instances.keys()].sort()).toEqual(["i-1", "i-2", "i-3"]);
  expect(instances.get("i-1")?.revision)
    .toBe(orderOf({ era: 2, revision: 35 }));
  expect(eras).toEqual([2]);
});

test("an answer of an earlier era changes nothing and is asked for again", async () => {
  const { queries, instances, isDone } = runFeed([
    ok({ position: RETURNED, changes: [entry("i-1", 35)] }),
    ok({ changes: [entry("i-1", 85)] }),
    ok({ position: RETURNED }),
  ]);
  await expect.poll(isDone).toBe(true);
  expect(instances.get("i-1")?.revision)
    .toBe(orderOf({ era: 2, revision: 35 }));
  expect(queries[2]).toMatchObject({ after: RETURNED.revision });
});

test("a list whose pages are of two eras begins again", async () => {
  const { instances, queries, isDone } = runFeed([
    ok({ changes: [entry("i-1", 80)], next: "servers/i-1" }),
    ok({ position: RETURNED, changes: [entry("i-2", 20)] }),
    ok({ position: RETURNED, changes: [entry("i-2", 20)] }),
  ]);
  await expect.poll(isDone).toBe(true);
  expect(queries[2]).toMatchObject({ after: undefined, allowsStale: false });
  expect(queries[3]).toMatchObject({ after: RETURNED.revision });
  expect(instances.has("i-2")).toBe(true);
});

// Guards against readers that take the silence of a dead connection for the
// absence of changes (incident 29).
test("a watch that waits confirms nothing", async () => {
  const { isDone } = runFeed([ok({ changes: [entry("i-1", 80)] })]);
  await expect.poll(isDone).toBe(true);
  await setTimeout(250);
  expect(feed.confirmedAt()).toBeUndefined();
});

test("a watch is given up if a change is known that it has not returned", async () => {
  const hang = undefined;
  const { queries, behind } = runFeed([
    ok({ changes: [entry("i-1", 80)] }),
    hang,
    ok({ position: LATER, changes: [entry("i-2", 95)] }),
  ]);
  await expect.poll(() => queries.length).toBe(2);
  await feed.check(BEFORE);
  await expect.poll(() => queries.length).toBe(4);
  expect(queries[3]).toMatchObject({ after: LATER.revision });
  expect(feed.confirmedAt()).toBeDefined();
  expect(behind()).toBe(1);
});

test("a watch is given up if peers know a later position", async () => {
  const { queries, behind } = runFeed([
    ok({ changes: [entry("i-1", 80)] }),
    undefined,
  ]);
  await expect.poll(() => queries.length).toBe(2);
  feed.advance(LATER);
  await expect.poll(() => queries.length).toBe(3);
  expect(queries[2]).toMatchObject({ after: LATER.revision });
  expect(behind()).toBe(1);
});

test("a watch is given up if the store does not answer another read", async () => {
  const { queries } = runFeed([
    ok({ changes: [entry("i-1", 80)] }),
    undefined,
    err({ kind: "unreachable", reason: "no answer in time" }),
    ok({ position: LATER, changes: [entry("i-2", 95)] }),
  ]);
  await expect.poll(() => queries.length).toBe(2);
  expect(await feed.check(BEFORE)).toBeUndefined();
  expect(feed.reachable()).toBe(false);
  await expect.poll(() => queries.length).toBe(5);
  // The read after a failure does not wait for a change.
  expect(queries[3]).toMatchObject({ after: BEFORE.revision, waitMs: 0 });
  expect(feed.reachable()).toBe(true);
});

test("positions of a later era are later, whatever their revision", () => {
  expect(orderOf(RETURNED)).toBeGreaterThan(orderOf(BEFORE));
  expect(orderOf(MORE_RETURNED)).toBeGreaterThan(orderOf(RETURNED));
  expect(Number.isSafeInteger(orderOf({ era: 4_095, revision: 2 ** 40 - 1 })))
    .toBe(true);
});

const IDS = ["i-1", "i-2", "i-3"] as const;

/** Changes of keys in their order. */
const HISTORY = fc.array(
  fc.record({
    id: fc.constantFrom(...IDS),
    kind: fc.constantFrom("instance", "removed", "foreign"),
  }),
  { minLength: 1, maxLength: 8 },
).map((events) =>
  events.map(({ id, kind }, index): StoreChange => {
    const revision = index + 1;
    switch (kind) {
      case "instance":
        return entry(id, revision);
      case "removed":
        return { kind, id, revision };
      default:
        return {
          kind: "foreign",
          key: id,
          reason: "state is not readable",
          instance: { id, revision },
        };
    }
  })
);

function keyOf(change: StoreChange): string {
  switch (change.kind) {
    case "instance":
      return change.instance.id;
    case "removed":
      return change.id;
    case "foreign":
    case "value":
      return change.kind === "foreign" ? change.key : change.value.key;
  }
}

// Guards against an instance that stays in use only at nodes that had heard of it
// before its entry became unreadable (incident 34).
test("a watch and a list of the same keys tell of the same instances", async () => {
  await fc.assert(fc.asyncProperty(HISTORY, async (history) => {
    const position = { era: 1, revision: history.length };
    const known = (instances: ReadonlyMap<string, PlatformInstance>) =>
      [...instances.values()].filter(({ state }) => state !== "gone")
        .map(({ id }) => id).sort();

    const clock = createVirtualClock();
    const start = ok({ position: { era: 1, revision: 0 } });
    const events = history.map((change, index) =>
      ok({ changes: [change], position: { era: 1, revision: index + 1 } })
    );
    const watching = runFeed([start, ...events], clock);
    await clock.run(20 * STORE_REWRITE_GRACE_MS);
    feed.close();

    const latest = new Map(history.map((change) => [keyOf(change), change]));
    const items = [...latest.values()].filter(({ kind }) => kind !== "removed");
    const listing = runFeed([ok({ changes: items, position })], clock);
    await clock.run(20 * STORE_REWRITE_GRACE_MS);
    feed.close();
    expect(known(watching.instances)).toEqual(known(listing.instances));
  }));
});

test("an entry that stays unreadable is removed however often it is written", async () => {
  const clock = createVirtualClock();
  const unreadable = (revision: number) =>
    ok({
      position: { era: 1, revision },
      changes: [{
        kind: "foreign" as const,
        key: "i-1",
        reason: "state is not readable",
        instance: { id: "i-1", revision },
      }],
    });
  const script: (Answer | undefined)[] = [ok({
    position: { era: 1, revision: 1 },
    changes: [entry("i-1", 1)],
  })];
  for (let revision = 2; revision < 100; revision++) {
    script.push(unreadable(revision));
  }
  const { instances } = runFeed(script, clock);
  await clock.run(STORE_REWRITE_GRACE_MS / 2);
  expect(instances.get("i-1")?.state).toBe("live");
  await clock.run(STORE_REWRITE_GRACE_MS);
  expect(instances.get("i-1")?.state).toBe("gone");
});
