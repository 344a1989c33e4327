/**
 * Measures how memory, time and traffic grow with the size of the fleet, to
 * extrapolate to the full size.
 */

import { readFile } from "node:fs/promises";
import process from "node:process";
import {
  createAdmission,
  createGossipState,
  createMembership,
  createRouter,
  type ListedInstance,
  type News,
  PROTECTED_LEVEL,
} from "@coltsfootdeal/policy";
import { averageMicroseconds, fitLine, measureHeap } from "./measure.ts";
import { publishAndWait, startRealFleet } from "./real_fleet.ts";

/** Measured cost at several sizes, with the line fitted to it. */
export interface SlopeResult {
  readonly measure: string;
  readonly unit: string;
  readonly points: readonly { readonly x: number; readonly y: number }[];
  /** Change of `y` per `x`. */
  readonly slope: number;
  /** Value of the line at `x` = 0. */
  readonly base: number;
}

/**
 * Wait until the traffic of a new fleet is steady. Comparisons hold the news of
 * the last ten seconds in full and only a hash of older news.
 */
const SETTLING_MS = 12_000;
/** Time for which a fleet is measured without calls. */
const IDLE_MEASUREMENT_MS = 8_000;
/** Number of bundle versions that are published per fleet. */
const BUNDLE_CHANGES = 5;

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}

/** Numbers of upstreams that a router picks from. */
const UPSTREAM_COUNTS = [36, 360, 3_600];

function createListedInstance(index: number): ListedInstance {
  return {
    id: `service-${index % 500}-${index}`,
    service: `service-${index % 500}`,
    dataCentre: `dc-${index % 9}`,
    address: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:7101`,
    control: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:7103`,
    state: "live",
  };
}

function createSlopeResult(
  measure: string,
  unit: string,
  options: { readonly points: SlopeResult["points"] },
): SlopeResult {
  return { measure, unit, ...options, ...fitLine(options.points) };
}

/** Memory that membership and gossip take per instance of the fleet. */
function measureMemberMemory(): SlopeResult {
  const points = [1_000, 6_000, 18_000].map((x) => {
    const { built, bytes } = measureHeap(() => {
      const membership = createMembership();
      const gossip = createGossipState();
      for (let index = 0; index < x; index++) {
        const listed = createListedInstance(index);
        const value = JSON.stringify(listed);
        const topic = `instance/${listed.id}`;
        membership.applyListed({ ...listed, revision: 1 });
        gossip.receive([{ topic, version: 1, digest: `${index}`, value }], 0);
      }
      return { membership, gossip };
    });
    return { x, y: built.gossip.size() === x ? bytes : Number.NaN };
  });
  return createSlopeResult("memory of members", "bytes per member", { points });
}

/** Memory that gossip takes per bundle scope, with one bundle per service. */
function measureScopeMemory(): SlopeResult {
  const points = [100, 250, 500].map((x) => {
    const { built, bytes } = measureHeap(() => {
      const gossip = createGossipState();
      for (let index = 0; index < x; index++) {
        const topic = `bundle/service-${index}`;
        const digest = `${index}`.repeat(16).slice(0, 64);
        const source = "10.0.0.1:7103";
        gossip.receive([{ topic, version: index + 1, digest, source }], 0);
      }
      return gossip;
    });
    return { x, y: built.size() === x ? bytes : Number.NaN };
  });
  return createSlopeResult("memory of scopes", "bytes per scope", { points });
}

/** Time of an anti-entropy comparison, both sides together. */
function measureComparisonTime(): SlopeResult {
  const points = [1_000, 6_000, 18_500].map((x) => {
    const a = createGossipState();
    const b = createGossipState();
    const news: News[] = [];
    for (let index = 0; index < x; index++) {
      news.push({ topic: `instance/${index}`, version: 1, digest: `${index}` });
    }
    a.receive(news, 0);
    b.receive(news, 0);
    const y = averageMicroseconds(() => {
      b.reply(a.compare(60_000), 60_000);
    }, 50);
    return { x, y };
  });
  return createSlopeResult("comparison of two peers", "µs per topic", {
    points,
  });
}

/** Time in which a router picks one of its upstreams. */
function measurePickTime(): SlopeResult {
  const points = UPSTREAM_COUNTS.map((x) => {
    const dataCentreNames = Array.from(
      { length: 9 },
      (_, index) => `dc-${index}`,
    );
    const router = createRouter({ nodeId: "me", dataCentres: dataCentreNames });
    const upstreams = Array.from({ length: x }, (_, index) => ({
      ...createListedInstance(index),
      service: "one",
      incarnation: "1",
    }));
    router.update("one", upstreams, { now: 0, warm: true });
    const request = { service: "one", level: 100 };
    const y = averageMicroseconds((index) => {
      router.pick(request, { now: index, random: Math.random });
    }, 100_000);
    return { x, y };
  });
  return createSlopeResult("pick of a gate", "µs per upstream", { points });
}

/** Time in which a gate with a full queue handles one offered call. */
function measureAdmissionTime(): SlopeResult {
  const points = [15, 55, 75].map((x) => {
    const floors = new Map([["kind-0", 0.02]]);
    const gate = createAdmission({ slots: x, floors });
    const y = averageMicroseconds((index) => {
      const now = index * 0.1;
      const level = index % 10 === 0 ? PROTECTED_LEVEL : (index % 7) * 160;
      gate.offer({
        id: String(index),
        kind: `kind-${index % 7}`,
        level,
        caller: `caller-${index % 50}`,
        deadlineAt: now + 100,
        cancellable: true,
        exclusive: false,
      }, now);
      // Only half of the offered calls finish, so that the queue stays full.
      if (index % 2 === 0) {
        gate.finish(String(index - 2 * x), { shed: false }, { now });
      }
    }, 20_000);
    return { x, y };
  });
  return createSlopeResult("admission under overload", "µs per slot", {
    points,
  });
}

/** Bytes received on loopback since system start; NaN if unknown. */
async function readLoopbackBytes(): Promise<number> {
  const text = await readFile("/proc/net/dev", "utf8").catch(() => "");
  const line = text.split("\n").find((row) => row.trim().startsWith("lo:"));
  return Number(line?.trim().split(/\s+/)[1] ?? Number.NaN);
}

/** Measurements of one fleet of real nodes. */
interface FleetMeasurement {
  /**
   * CPU time of this process per node without calls, in % of a core. Includes
   * the platform and the backend servers.
   */
  readonly cpuPercent: number;
  /** Bytes per second on loopback per node, without calls or changes. */
  readonly bytesPerSecond: number;
  /** Calls of all nodes to the platform per change. */
  readonly platformCalls: number;
  /** Longest time until a change is in force on all nodes, in ms. */
  readonly inForceMs: number;
}

async function measureFleet(count: number): Promise<FleetMeasurement> {
  const options = { count, serviceMs: 1, dataCentres: 3 };
  const fleet = await startRealFleet(options);
  await sleep(SETTLING_MS);
  const cpuBefore = process.cpuUsage();
  const bytesBefore = await readLoopbackBytes();
  await sleep(IDLE_MEASUREMENT_MS);
  const used = process.cpuUsage(cpuBefore);
  const bytes = (await readLoopbackBytes()) - bytesBefore;
  const callsBefore = fleet.platform.calls();
  const inForce: number[] = [];
  for (let version = 2; version < 2 + BUNDLE_CHANGES; version++) {
    inForce.push(await publishAndWait(fleet, version));
    await sleep(500);
  }
  const calls = fleet.platform.calls() - callsBefore;
  await fleet.close();
  // CPU time is in µs: 10,000 µs per second are 1 % of a core.
  const seconds = IDLE_MEASUREMENT_MS / 1_000;
  return {
    cpuPercent: (used.user + used.system) / 10_000 / seconds / count,
    bytesPerSecond: bytes / seconds / count,
    platformCalls: calls / BUNDLE_CHANGES,
    inForceMs: Math.max(...inForce),
  };
}

async function measureFleets(): Promise<readonly SlopeResult[]> {
  const sizes = [6, 20, 60];
  const figures: FleetMeasurement[] = [];
  for (const size of sizes) figures.push(await measureFleet(size));
  const points = (value: (figure: FleetMeasurement) => number) => ({
    points: figures.map((figure, index) => ({
      x: sizes[index] ?? 0,
      y: value(figure),
    })),
  });
  return [
    createSlopeResult(
      "control of an idle node",
      "% of a core",
      points((f) => f.cpuPercent),
    ),
    createSlopeResult(
      "control traffic of an idle node",
      "B/s",
      points((f) => f.bytesPerSecond),
    ),
    createSlopeResult(
      "platform calls per change",
      "calls",
      points((f) => f.platformCalls),
    ),
    createSlopeResult(
      "change in force on real nodes",
      "ms",
      points((f) => f.inForceMs),
    ),
  ];
}

/**
 * Measures all costs. Heap sizes need `node --expose-gc`; without it, they
 * include garbage.
 */
export async function measureSlopes(): Promise<readonly SlopeResult[]> {
  return [
    measureMemberMemory(),
    measureScopeMemory(),
    measureComparisonTime(),
    measurePickTime(),
    measureAdmissionTime(),
    ...await measureFleets(),
  ];
}
