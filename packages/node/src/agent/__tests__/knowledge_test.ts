/** Changes of the platform apply in time, whichever nodes are lost. */

import { READERS_PER_DATA_CENTRE, resolveRanking } from "@coltsfootdeal/policy";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import {
  createVirtualFleet,
  type Loss,
  type VirtualFleet,
  type VirtualNode,
} from "./virtual_fleet.ts";

/** Time in which a configuration must be in force, in ms. */
const CONFIGURATION_APPLY_MS = 2_000;
/** Time in which an instance that leaves must be known, in ms. */
const DRAIN_MS = 2_000;
/** Three heartbeat intervals, after which the platform removes an entry. */
const ENTRY_EXPIRY_MS = 4_500;
const SEED = 20_261_205;
/** Time after which nothing remembers an entry that was removed. */
const DEPARTED_MS = 31_000;
const SETTLE_MS = 6_000;
const STEP_MS = 10;
const STORM_VERSIONS = 75;
const STORM_PERIOD_MS = 330;
/** Store calls of one data centre in which all readers are replaced. */
const REPLACEMENT_CALLS_MAX = 20;
const READERS = READERS_PER_DATA_CENTRE;
const OUTAGE_MS = 9_000;
/** Shortest mean time between two calls of a node in an outage, in ms. */
const READ_RETRY_MS = 3_000;
const LARGE = { a: 65, b: 65, c: 65 };
const SMALL = { a: 6, b: 4, c: 4 };

let random: () => number;
let fleet: VirtualFleet;

beforeEach(() => {
  const generator = xoroshiro128plus(SEED);
  random = () => uniformFloat64(generator);
  vi.spyOn(Math, "random").mockImplementation(random);
});

afterEach(() => {
  fleet.close();
  vi.restoreAllMocks();
});

async function startFleet(counts: Readonly<Record<string, number>>) {
  fleet = createVirtualFleet(counts);
  await fleet.clock.run(SETTLE_MS);
  expect(fleet.nodes.map((node) => node.version())).not.toContain(0);
}

/** Publishes a version; returns the ms until each node has it in force. */
async function measureApplyMs(
  version: number,
  nodes: readonly VirtualNode[] = fleet.left(),
): Promise<readonly number[]> {
  fleet.publish(version);
  const appliedMs = new Map<VirtualNode, number>();
  for (let ms = STEP_MS; ms <= 4 * CONFIGURATION_APPLY_MS; ms += STEP_MS) {
    await fleet.clock.run(STEP_MS);
    for (const node of nodes) {
      if (node.version() < version || appliedMs.has(node)) continue;
      appliedMs.set(node, ms);
    }
    if (appliedMs.size === nodes.length) break;
  }
  return nodes.map((node) => appliedMs.get(node) ?? Infinity);
}

/** Drains an instance; returns the ms until no node sends requests to it. */
async function measureDrainMs(
  drained: VirtualNode,
  nodes: readonly VirtualNode[],
): Promise<number> {
  expect(nodes.every((node) => node.usesUpstream(drained.id))).toBe(true);
  fleet.drain(drained);
  for (let ms = STEP_MS; ms <= 4 * DRAIN_MS; ms += STEP_MS) {
    await fleet.clock.run(STEP_MS);
    if (!nodes.some((node) => node.usesUpstream(drained.id))) return ms;
  }
  return Infinity;
}

function countStoreCalls(nodes: readonly VirtualNode[]): number {
  return nodes.reduce((sum, node) => sum + node.storeCalls(), 0);
}

function readers(): readonly VirtualNode[] {
  return fleet.left().filter(({ agent }) => agent.status().reader);
}

/** Nodes of a data centre, those first that are to read the platform last. */
function lastReadersFirst(dataCentre: string): readonly VirtualNode[] {
  const nodes = fleet.left().filter((node) => node.dataCentre === dataCentre);
  return resolveRanking(nodes, { hashKey: dataCentre }).toReversed();
}

/**
 * Publishes versions in quick succession; returns the longest time in ms for
 * which one of the nodes had an older version than one that was published.
 */
async function measureStormMs(
  nodes: readonly VirtualNode[],
): Promise<number> {
  const publishedAt: { readonly version: number; readonly at: number }[] = [];
  let longestMs = 0;
  for (let version = 2; version < 2 + STORM_VERSIONS; version++) {
    fleet.publish(version);
    publishedAt.push({ version, at: fleet.clock.now() });
    for (let ms = 0; ms < STORM_PERIOD_MS; ms += STEP_MS) {
      await fleet.clock.run(STEP_MS);
      const oldest = Math.min(...nodes.map((node) => node.version()));
      const missing = publishedAt.find((next) => next.version > oldest);
      if (missing === undefined) continue;
      longestMs = Math.max(longestMs, fleet.clock.now() - missing.at);
    }
  }
  return longestMs;
}

// Guards against nodes that keep an old configuration while nobody reads the
// platform for them (review/3).
test.each<[string, number, Loss]>([
  ["refused", 0, "refused"],
  ["refused", 3_500, "refused"],
  ["silent", 0, "silent"],
  ["silent", 3_500, "silent"],
])(
  "two nodes that are left of 14 apply a change in time (%s, after %i ms)",
  async (_how, afterMs, how) => {
    await startFleet(SMALL);
    const left = lastReadersFirst("a").slice(0, 2);
    const lost = fleet.nodes.filter((node) => !left.includes(node));
    fleet.lose(lost, how);
    const removal = fleet.clock.after(ENTRY_EXPIRY_MS, () => {
      for (const node of lost) fleet.removeEntry(node);
    });
    await fleet.clock.run(afterMs);
    const appliedMs = await measureApplyMs(2);
    removal.close();
    expect(Math.max(...appliedMs)).toBeLessThan(CONFIGURATION_APPLY_MS);
  },
);

// Guards against nodes that wait for the readers of their data centre.
test.each<[string, Readonly<Record<string, number>>, Loss]>([
  ["14", SMALL, "refused"],
  ["14", SMALL, "silent"],
  ["195", LARGE, "refused"],
  ["195", LARGE, "silent"],
])("%s nodes whose readers are lost apply a change in time (%s)", async (
  _count,
  counts,
  how,
) => {
  await startFleet(counts);
  const lost = readers();
  const calls = fleet.storeCalls();
  fleet.lose(lost, how);
  const appliedMs = await measureApplyMs(2);
  expect(Math.max(...appliedMs)).toBeLessThan(CONFIGURATION_APPLY_MS);
  // Each data centre reads for itself; its nodes do not all read.
  const callsMax = REPLACEMENT_CALLS_MAX * Object.keys(counts).length;
  expect(fleet.storeCalls() - calls).toBeLessThan(callsMax);
});

// Guards against nodes that leave the platform to readers which are cut off
// from it.
test.each<[string, number, Readonly<Record<string, number>>, number]>([
  ["readers", READERS, SMALL, 0],
  ["readers", READERS, SMALL, 3_000],
  ["readers and standbys", 2 * READERS, SMALL, 0],
  ["readers and standbys", 2 * READERS, SMALL, 3_000],
  ["readers and standbys", 2 * READERS, LARGE, 0],
  ["readers and standbys", 2 * READERS, LARGE, 3_000],
])(
  "%s (%i a data centre) cut off from the store delay no change of %j, after %i ms",
  async (
    _who,
    count,
    counts,
    afterMs,
  ) => {
    await startFleet(counts);
    const cutOff = Object.keys(counts).flatMap((dataCentre) =>
      lastReadersFirst(dataCentre).slice(-count)
    );
    fleet.cutOffStore(cutOff);
    await fleet.clock.run(afterMs);
    const others = fleet.left().filter((node) => !cutOff.includes(node));
    const calls = countStoreCalls(others);
    const appliedMs = await measureApplyMs(2, others);
    expect(Math.max(...appliedMs)).toBeLessThan(CONFIGURATION_APPLY_MS);
    const callsMax = REPLACEMENT_CALLS_MAX * Object.keys(counts).length;
    expect(countStoreCalls(others) - calls).toBeLessThan(callsMax);
  },
);

// Guards against nodes that send requests to an instance that is leaving while
// nobody reads the platform for them.
test.each<[string, Loss | "cut off"]>([
  ["lost (refused)", "refused"],
  ["lost (silent)", "silent"],
  ["cut off from the store", "cut off"],
])("an instance that leaves gets no requests though the readers are %s", async (
  _name,
  how,
) => {
  await startFleet(SMALL);
  const [drained] = lastReadersFirst("a");
  const affected = readers();
  if (how === "cut off") fleet.cutOffStore(affected);
  else fleet.lose(affected, how);
  const others = fleet.left().filter((node) => !affected.includes(node));
  expect(await measureDrainMs(drained!, others)).toBeLessThan(DRAIN_MS);
});

// Guards against watches that confirm what a node knows while their connections
// are silent (incident 29).
test.each<[Readonly<Record<string, number>>, number, number]>([
  [SMALL, 0, 0],
  [SMALL, 0, 3_000],
  [SMALL, 700, 200],
  [SMALL, 700, 3_000],
  [SMALL, 3_000, 1_500],
  [LARGE, 700, 200],
  [LARGE, 700, 3_000],
])(
  "silent connections to the store delay no change (%j, silent %i ms after a change, the next after %i ms)",
  async (counts, quietMs, silentMs) => {
    await startFleet(counts);
    await measureApplyMs(2);
    await fleet.clock.run(quietMs);
    fleet.silenceStore();
    await fleet.clock.run(silentMs);
    expect(Math.max(...await measureApplyMs(3)))
      .toBeLessThan(CONFIGURATION_APPLY_MS);
  },
);

test.each([0, 3_000])(
  "an instance that leaves gets no requests though the connections to the store are silent for %i ms",
  async (silentMs) => {
    await startFleet(SMALL);
    await measureApplyMs(2);
    await fleet.clock.run(700);
    fleet.silenceStore();
    await fleet.clock.run(silentMs);
    const [drained] = lastReadersFirst("a");
    expect(await measureDrainMs(drained!, fleet.left())).toBeLessThan(DRAIN_MS);
  },
);

test.each([0, 700, 3_000])(
  "silent connections between nodes and to the store delay no change (%i ms)",
  async (silentMs) => {
    await startFleet(SMALL);
    await measureApplyMs(2);
    await fleet.clock.run(700);
    fleet.silenceStore();
    fleet.silencePeers();
    await fleet.clock.run(silentMs);
    expect(Math.max(...await measureApplyMs(3)))
      .toBeLessThan(CONFIGURATION_APPLY_MS);
  },
);

// Guards against nodes that count as up to date by news of a bundle which they
// do not have.
test("nodes that cannot fetch what their peers announce apply a change in time", async () => {
  await startFleet(SMALL);
  const others = fleet.left().filter((node) => !readers().includes(node));
  fleet.silencePulls(others);
  const appliedMs = await measureApplyMs(2);
  expect(Math.max(...appliedMs)).toBeLessThan(CONFIGURATION_APPLY_MS);
});

// Guards against a store that is called more than it can bear, at a price for
// each call, while it refuses everyone.
test("while the store refuses all nodes, each calls it rarely", async () => {
  await startFleet(LARGE);
  // The standbys become readers meanwhile.
  const others = Object.keys(LARGE).flatMap((dataCentre) =>
    lastReadersFirst(dataCentre).slice(0, -2 * READERS)
  );
  const calls = others.map((node) => node.storeCalls());
  fleet.cutOffStore(fleet.nodes);
  await fleet.clock.run(OUTAGE_MS);
  for (const [index, node] of others.entries()) {
    const made = node.storeCalls() - calls[index]!;
    expect(made).toBeLessThanOrEqual(1 + OUTAGE_MS / READ_RETRY_MS);
  }
});

test("a whole data centre that is lost delays no other", async () => {
  await startFleet(LARGE);
  fleet.lose(lastReadersFirst("a"), "silent");
  const appliedMs = await measureApplyMs(2);
  expect(Math.max(...appliedMs)).toBeLessThan(CONFIGURATION_APPLY_MS);
});

test("nodes lost in waves delay no change", async () => {
  await startFleet(SMALL);
  for (let version = 2; fleet.left().length > 2; version++) {
    const all = [...readers(), ...fleet.left()];
    fleet.lose([...new Set(all)].slice(0, 2), "silent");
    const appliedMs = await measureApplyMs(version);
    expect(Math.max(...appliedMs)).toBeLessThan(CONFIGURATION_APPLY_MS);
  }
});

// Guards against nodes that learn of changes only while they are listed
// (review/5).
test("a node beside an upstream that was lost earlier applies changes in time", async () => {
  await startFleet({ a: 9 });
  const judged = lastReadersFirst("a").slice(0, 2);
  for (const node of judged) fleet.removeEntry(node);
  await fleet.clock.run(DEPARTED_MS);
  expect(await measureStormMs(judged)).toBeLessThan(CONFIGURATION_APPLY_MS);
});

test("a node that starts beside an unlisted upstream applies changes in time", async () => {
  await startFleet(SMALL);
  const started = fleet.start("i-new", "b");
  await fleet.clock.run(3_000);
  expect(await measureStormMs([started])).toBeLessThan(CONFIGURATION_APPLY_MS);
});

test("the only nodes of a data centre, upstreams gone, apply changes in time", async () => {
  await startFleet(SMALL);
  const judged = lastReadersFirst("b");
  for (const node of judged) fleet.removeEntry(node);
  await fleet.clock.run(DEPARTED_MS);
  const others = fleet.left().filter((node) => !judged.includes(node));
  fleet.lose(others, "silent");
  expect(await measureStormMs(judged)).toBeLessThan(CONFIGURATION_APPLY_MS);
});

test("calm nodes that hear of readers do not read the platform", async () => {
  await startFleet(LARGE);
  await fleet.clock.run(5_000);
  const others = fleet.left().filter((node) => !readers().includes(node));
  const calls = others.map((node) => node.storeCalls());
  await fleet.clock.run(10_000);
  expect(others.map((node) => node.storeCalls())).toEqual(calls);
});

// Guards against a data centre whose readers are elected among entries of other
// applications, so that nobody reads (incident 32).
test.each([SMALL, LARGE])(
  "entries of another application on each machine take no reader's place (%o)",
  async (counts) => {
    await startFleet(counts);
    for (const node of fleet.nodes) {
      for (const name of ["a", "z"]) {
        fleet.listBeside(node, `${name}-metrics-${node.id}`);
      }
    }
    await fleet.clock.run(SETTLE_MS);
    for (const dataCentre of Object.keys(counts)) {
      const local = readers().filter((node) => node.dataCentre === dataCentre);
      expect(local).toHaveLength(READERS);
    }
    expect(Math.max(...await measureApplyMs(2)))
      .toBeLessThanOrEqual(CONFIGURATION_APPLY_MS);
  },
);
