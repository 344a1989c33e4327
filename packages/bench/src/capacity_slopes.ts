/** Slopes from which the capacity at full size is worked out. */

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
import { heapOf, slopeOf, timeOf } from "./measure.ts";
import { startRealFleet, timeUntilInForce } from "./real_fleet.ts";

/** One measured slope or cost. */
export interface SlopeResult {
  readonly measure: string;
  readonly unit: string;
  readonly points: readonly { readonly x: number; readonly y: number }[];
  /** Change of y per x. */
  readonly slope: number;
  readonly base: number;
}

const SETTLE_MS = 12_000;
const QUIET_MS = 8_000;
const CHANGES = 5;

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}

const SIZES = [36, 360, 3_600];

function instance(index: number): ListedInstance {
  return {
    id: `service-${index % 500}-${index}`,
    service: `service-${index % 500}`,
    dataCentre: `dc-${index % 9}`,
    address: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:7101`,
    control: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:7103`,
    state: "live",
  };
}

function result(
  measure: string,
  unit: string,
  options: { readonly points: SlopeResult["points"] },
): SlopeResult {
  return { measure, unit, ...options, ...slopeOf(options.points) };
}

function memoryOfMembers(): SlopeResult {
  const points = [1_000, 6_000, 18_000].map((x) => {
    const { built, bytes } = heapOf(() => {
      const membership = createMembership();
      const spread = createGossipState();
      for (let index = 0; index < x; index++) {
        const listed = instance(index);
        const value = JSON.stringify(listed);
        const topic = `instance/${listed.id}`;
        membership.applyListed(listed, 0);
        spread.receive([{ topic, version: 1, digest: `${index}`, value }], 0);
      }
      return { membership, spread };
    });
    return { x, y: built.spread.size() === x ? bytes : Number.NaN };
  });
  return result("memory of members", "bytes per member", { points });
}

function memoryOfScopes(): SlopeResult {
  const points = [100, 250, 500].map((x) => {
    const { built, bytes } = heapOf(() => {
      const spread = createGossipState();
      for (let index = 0; index < x; index++) {
        const topic = `bundle/service-${index}`;
        const digest = `${index}`.repeat(16).slice(0, 64);
        const source = "10.0.0.1:7103";
        spread.receive([{ topic, version: index + 1, digest, source }], 0);
      }
      return spread;
    });
    return { x, y: built.size() === x ? bytes : Number.NaN };
  });
  return result("memory of scopes", "bytes per scope", { points });
}

function timeOfComparison(): SlopeResult {
  const points = [1_000, 6_000, 18_500].map((x) => {
    const a = createGossipState();
    const b = createGossipState();
    const news: News[] = [];
    for (let index = 0; index < x; index++) {
      news.push({ topic: `instance/${index}`, version: 1, digest: `${index}` });
    }
    a.receive(news, 0);
    b.receive(news, 0);
    const y = timeOf(() => {
      b.reply(a.compare(60_000), 60_000);
    }, 50);
    return { x, y };
  });
  return result("comparison of two peers", "µs per topic", { points });
}

function timeOfPick(): SlopeResult {
  const points = SIZES.map((x) => {
    const places = Array.from({ length: 9 }, (_, index) => `dc-${index}`);
    const router = createRouter({ nodeId: "me", dataCentres: places });
    const upstreams = Array.from({ length: x }, (_, index) => ({
      ...instance(index),
      service: "one",
      incarnation: "1",
    }));
    router.update("one", upstreams, { now: 0, warm: true });
    const demand = { service: "one", level: 100 };
    const y = timeOf((index) => {
      router.pick(demand, { now: index, random: Math.random });
    }, 100_000);
    return { x, y };
  });
  return result("pick of a gate", "µs per upstream", { points });
}

function timeOfAdmission(): SlopeResult {
  const points = [15, 55, 75].map((x) => {
    const floors = new Map([["kind-0", 0.02]]);
    const gate = createAdmission({ slots: x, floors });
    const y = timeOf((index) => {
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
      // Half of what is offered runs, so that the queue is always full.
      if (index % 2 === 0) {
        gate.finish(String(index - 2 * x), { shed: false }, { now });
      }
    }, 20_000);
    return { x, y };
  });
  return result("admission under overload", "µs per slot", { points });
}

/** Bytes received on loopback since the system started. */
async function loopbackBytes(): Promise<number> {
  const text = await readFile("/proc/net/dev", "utf8").catch(() => "");
  const line = text.split("\n").find((row) => row.trim().startsWith("lo:"));
  return Number(line?.trim().split(/\s+/)[1] ?? Number.NaN);
}

interface FleetFigures {
  /** Processor time of a node without calls, in % of a core. */
  readonly cpu: number;
  /** Bytes a second that a node without calls or changes receives. */
  readonly bytes: number;
  /** Calls of the platform per change, over all nodes. */
  readonly reads: number;
  /** Longest time until a change was in force everywhere, in ms. */
  readonly inForceMs: number;
}

async function measureFleet(count: number): Promise<FleetFigures> {
  const options = { count, serviceMs: 1, dataCentres: 3 };
  const fleet = await startRealFleet(options);
  // The comparisons settle after ten seconds.
  await sleep(SETTLE_MS);
  const cpuBefore = process.cpuUsage();
  const bytesBefore = await loopbackBytes();
  await sleep(QUIET_MS);
  const used = process.cpuUsage(cpuBefore);
  const bytes = (await loopbackBytes()) - bytesBefore;
  const callsBefore = fleet.platform.calls();
  const inForce: number[] = [];
  for (let version = 2; version < 2 + CHANGES; version++) {
    inForce.push(await timeUntilInForce(fleet, version));
    await sleep(500);
  }
  const calls = fleet.platform.calls() - callsBefore;
  await fleet.close();
  const seconds = QUIET_MS / 1_000;
  return {
    cpu: (used.user + used.system) / 10_000 / seconds / count,
    bytes: bytes / seconds / count,
    reads: calls / CHANGES,
    inForceMs: Math.max(...inForce),
  };
}

async function measureFleets(): Promise<readonly SlopeResult[]> {
  const sizes = [6, 20, 60];
  const figures: FleetFigures[] = [];
  for (const size of sizes) figures.push(await measureFleet(size));
  const points = (value: (figure: FleetFigures) => number) => ({
    points: figures.map((figure, index) => ({
      x: sizes[index] ?? 0,
      y: value(figure),
    })),
  });
  return [
    result("control of an idle node", "% of a core", points((f) => f.cpu)),
    result("control traffic of an idle node", "B/s", points((f) => f.bytes)),
    result("platform calls per change", "calls", points((f) => f.reads)),
    result("change in force on real nodes", "ms", points((f) => f.inForceMs)),
  ];
}

/** Measures all slopes. */
export async function measureSlopes(): Promise<readonly SlopeResult[]> {
  return [
    memoryOfMembers(),
    memoryOfScopes(),
    timeOfComparison(),
    timeOfPick(),
    timeOfAdmission(),
    ...await measureFleets(),
  ];
}
