/** Slopes from which the capacity at full size is worked out. */

import process from "node:process";
import {
  createAdmission,
  createMembership,
  createRouter,
  createSpread,
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
      const spread = createSpread();
      for (let index = 0; index < x; index++) {
        const listed = instance(index);
        const value = JSON.stringify(listed);
        const topic = `instance/${listed.id}`;
        membership.list(listed, 0);
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
      const spread = createSpread();
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
    const a = createSpread();
    const b = createSpread();
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
    const router = createRouter({ owner: "me", dataCentres: places });
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
        alone: false,
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

async function readsOfPlatform(): Promise<readonly SlopeResult[]> {
  const reads: { x: number; y: number }[] = [];
  const times: { x: number; y: number }[] = [];
  const cpu: { x: number; y: number }[] = [];
  for (const x of [6, 20, 60]) {
    const fleet = await startRealFleet({
      count: x,
      serviceMs: 1,
      dataCentres: 3,
    });
    await new Promise((resolve) => setTimeout(resolve, 3_000));
    const callsBefore = fleet.platform.calls();
    const cpuBefore = process.cpuUsage();
    const startedAt = performance.now();
    const inForce: number[] = [];
    for (let version = 2; version < 7; version++) {
      inForce.push(await timeUntilInForce(fleet, version));
      await new Promise((resolve) => setTimeout(resolve, 500));
    }
    const seconds = (performance.now() - startedAt) / 1_000;
    const used = process.cpuUsage(cpuBefore);
    const perChange = (fleet.platform.calls() - callsBefore) / inForce.length;
    reads.push({ x, y: perChange });
    times.push({ x, y: Math.max(...inForce) });
    cpu.push({ x, y: (used.user + used.system) / 10_000 / seconds / x });
    await fleet.close();
  }
  return [
    result("platform calls per change", "calls per node", { points: reads }),
    result("change in force on real nodes", "ms per node", { points: times }),
    result("control of an idle node", "% of a core per node", { points: cpu }),
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
    ...await readsOfPlatform(),
  ];
}
