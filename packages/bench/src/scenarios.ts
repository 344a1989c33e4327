/** What happens to a fleet, by scenario. */

import { fullRate } from "./capacity.ts";
import type { Draw } from "./random.ts";
import { CALM_LOAD } from "./constants.ts";
import type { SimulatedFleet } from "./fleet.ts";
import type { SimulatedNode } from "./sim_types.ts";
import type { Timeline } from "./timeline.ts";
import { deepen, type RootKind, type Workload } from "./workload.ts";

/** What a disturbance works on. */
export interface Stage {
  readonly fleet: SimulatedFleet;
  readonly workload: Workload;
  readonly timeline: Timeline;
  readonly draw: Draw;
  readonly overload: number;
  readonly pressureMs: number;
  /** Sends the same poisonous request again and again. */
  readonly poison: (root: RootKind, resends: number) => void;
}

/** A kind of trouble during the time of pressure. */
export interface Disturbance {
  readonly name: string;
  /** Factor on the calm load of a root kind during the pressure. */
  readonly load?: (root: RootKind, stage: LoadStage) => number;
  /** Times that callers send again at once what was not answered. */
  readonly resends?: number;
  /** Called at the beginning of the pressure. */
  readonly begin?: (stage: Stage) => void;
  /** Called at its end. */
  readonly end?: (stage: Stage) => void;
  /** Service times during the pressure, as factors. */
  readonly slowdown?: (
    workload: Workload,
  ) => ReadonlyMap<string, number>;
  /** Whether everything fails at the end of its chain. */
  readonly failing?: boolean;
  /** The workload that the scenario runs on. */
  readonly prepare?: (workload: Workload) => Workload;
  /** The kind that floods, if one does. */
  readonly flood?: (workload: Workload) => string;
}

/** What the load of a root kind depends on. */
export interface LoadStage {
  readonly workload: Workload;
  readonly overload: number;
}

/** Factor of a service that has become slow. */
const SLOW_FACTOR = 10;

function overloadFactor(_: RootKind, { overload }: LoadStage): number {
  return overload / CALM_LOAD;
}

function floodOf(name: string) {
  return (root: RootKind, { workload, overload }: LoadStage): number => {
    const flood = name === "low" ? workload.lowFlood : workload.urgentFlood;
    if (root.name !== flood) return 1;
    return floodFactor(root, { workload, overload });
  };
}

/** Raises one kind until it alone asks for X times its service. */
function floodFactor(
  root: RootKind,
  { workload, overload }: LoadStage,
): number {
  const service = workload.services.find(({ name }) =>
    name === root.tree.service
  );
  if (service === undefined) return 1;
  const full = (service.slots * service.upstreams * 1_000) / service.serviceMs;
  return (overload * full) / (calmRateOf(root, workload) || 1);
}

function calmRateOf(root: RootKind, workload: Workload): number {
  return CALM_LOAD * fullRate(workload) * root.share;
}

function pick(nodes: readonly SimulatedNode[], draw: Draw): SimulatedNode {
  const node = nodes[draw.below(nodes.length)];
  if (node === undefined) throw new Error("a fleet has nodes");
  return node;
}

/** Restarts one backend server of each service, one after the other. */
function restartColdly({ fleet, workload, timeline }: Stage): void {
  for (const [index, { name }] of workload.services.entries()) {
    timeline.after(index * 1_000, () => {
      const [node] = fleet.nodesOf(name);
      node?.backend.crash({ restartMs: 1_000, coldMs: 5_000 });
    });
  }
}

function pauseSome(stage: Stage): void {
  const { fleet, timeline, draw, pressureMs } = stage;
  for (let at = 0; at < pressureMs; at += 3_000) {
    timeline.after(at, () => {
      pick(fleet.nodes, draw).pause(500 + draw.unit() * 2_500);
    });
  }
}

function cutDataCentres({ fleet, timeline, pressureMs }: Stage): void {
  fleet.cut(true);
  timeline.after(pressureMs / 2, () => fleet.cut(false));
}

function leaveSome({ fleet, workload }: Stage): void {
  for (const { name } of workload.services) {
    fleet.nodesOf(name)[0]?.backend.leave();
  }
}

function poisonSome(stage: Stage): void {
  const roots = stage.workload.roots.filter(({ tree }) =>
    tree.kind.idempotent && tree.children.length === 0
  );
  for (const root of roots.slice(0, 2)) stage.poison(root, 10);
}

function deepSlowdown(workload: Workload): ReadonlyMap<string, number> {
  return new Map([[workload.deepService, SLOW_FACTOR]]);
}

/** All disturbances. */
export const DISTURBANCES: readonly Disturbance[] = [
  { name: "steady" },
  { name: "surge", load: overloadFactor },
  {
    name: "deep-slow",
    load: overloadFactor,
    slowdown: deepSlowdown,
    begin: ({ fleet, workload }) => {
      fleet.slow(workload.deepService, SLOW_FACTOR);
    },
    end: ({ fleet, workload }) => fleet.slow(workload.deepService, 1),
  },
  {
    name: "flood-low",
    load: floodOf("low"),
    flood: ({ lowFlood }) => lowFlood,
  },
  {
    name: "flood-urgent",
    load: floodOf("urgent"),
    flood: ({ urgentFlood }) => urgentFlood,
  },
  { name: "retry-storm", load: overloadFactor, resends: 3 },
  { name: "cold-start", begin: restartColdly },
  {
    name: "leaving",
    begin: leaveSome,
    end: ({ fleet }) => fleet.nodes.forEach((node) => node.replace()),
  },
  { name: "poison", begin: poisonSome },
  { name: "pause", begin: pauseSome },
  { name: "partition", begin: cutDataCentres },
  { name: "chain-failing", failing: true, prepare: deepen },
];

/** Names of all scenarios. */
export const SCENARIOS: readonly string[] = [
  ...DISTURBANCES.map(({ name }) => name),
  "pair",
];

/** The disturbances of a scenario; `pair` draws two by the seed. */
export function resolveScenario(
  name: string,
  draw: Draw,
): readonly Disturbance[] | undefined {
  if (name !== "pair") {
    const found = DISTURBANCES.find((disturbance) => disturbance.name === name);
    return found === undefined ? undefined : [found];
  }
  const candidates = DISTURBANCES.filter(({ name }) =>
    name !== "steady" && name !== "chain-failing"
  );
  const first = candidates[draw.below(candidates.length)];
  const second = candidates[draw.below(candidates.length)];
  if (first === undefined || second === undefined) return undefined;
  return first === second ? [first] : [first, second];
}
