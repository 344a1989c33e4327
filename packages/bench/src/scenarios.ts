/**
 * Scenarios: disturbances that act on a fleet during the pressure phase, the
 * part of a run that `--pressure-ms` sets. A root kind is a kind of request that
 * callers send; services make nested calls to answer it.
 */

import { saturationRate } from "./capacity.ts";
import type { RandomSource } from "./random.ts";
import { NORMAL_LOAD_SHARE } from "./constants.ts";
import type { SimulatedFleet } from "./fleet.ts";
import type { SimulatedNode } from "./sim_types.ts";
import type { Timeline } from "./timeline.ts";
import {
  createDeepChainWorkload,
  type RootKind,
  type Workload,
} from "./workload.ts";

/** What a disturbance can act on when it begins or ends. */
export interface DisturbanceContext {
  readonly fleet: SimulatedFleet;
  readonly workload: Workload;
  readonly timeline: Timeline;
  readonly rng: RandomSource;
  /** Load during the pressure phase; see `LoadContext`. */
  readonly overload: number;
  readonly pressureMs: number;
  /**
   * Sends a request that crashes each backend server that runs it. The caller
   * resends it up to `resends` times until it is answered.
   */
  readonly sendPoison: (root: RootKind, resends: number) => void;
}

/** A disturbance during the pressure phase. */
export interface Disturbance {
  readonly name: string;
  /** Factor on the normal load of a root kind during the pressure phase. */
  readonly loadFactor?: (root: RootKind, context: LoadContext) => number;
  /**
   * Largest number of times that a caller resends a request that got no answer,
   * without a delay and until its deadline. @default 0
   */
  readonly resends?: number;
  /** Called at the start of the pressure phase. */
  readonly begin?: (context: DisturbanceContext) => void;
  /** Called at the end of the pressure phase. */
  readonly end?: (context: DisturbanceContext) => void;
  /**
   * Factors on service times during the pressure phase, by service, from which
   * the highest possible goodput is computed. They do not slow the fleet:
   * `begin` has to apply the same factors.
   */
  readonly slowdown?: (
    workload: Workload,
  ) => ReadonlyMap<string, number>;
  /** Whether the last call of every chain fails. */
  readonly failing?: boolean;
  /** Derives the workload that the scenario runs on. */
  readonly transformWorkload?: (workload: Workload) => Workload;
  /** Name of the root kind that floods the fleet. */
  readonly floodingKind?: (workload: Workload) => string;
}

/** Input for the load factor of a root kind. */
export interface LoadContext {
  readonly workload: Workload;
  /**
   * Load during the pressure phase as a multiple of the capacity. Only scenarios
   * with a load factor use it. In a flood it is a multiple of the capacity of
   * one service, the one that the flooding kind calls first.
   */
  readonly overload: number;
}

/** Factor on the service time of a slow service. */
const SLOW_SERVICE_FACTOR = 10;

/** Factor at which all kinds together demand `overload` times the capacity. */
function overloadFactor(_: RootKind, { overload }: LoadContext): number {
  return overload / NORMAL_LOAD_SHARE;
}

/** Load factor of a flood of one kind; the other kinds keep their load. */
function createFloodLoadFactor(priority: string) {
  return (root: RootKind, { workload, overload }: LoadContext): number => {
    const floodKind = priority === "low"
      ? workload.lowFloodKind
      : workload.urgentFloodKind;
    if (root.name !== floodKind) return 1;
    return floodLoadFactor(root, { workload, overload });
  };
}

/**
 * Factor at which one kind alone demands `overload` times the capacity of the
 * service that it calls first.
 */
function floodLoadFactor(
  root: RootKind,
  { workload, overload }: LoadContext,
): number {
  const service = workload.services.find(({ name }) =>
    name === root.tree.service
  );
  if (service === undefined) return 1;
  const serviceCapacity = (service.slots * service.upstreams * 1_000) /
    service.serviceMs;
  return (overload * serviceCapacity) / (normalRateOf(root, workload) || 1);
}

/** Requests per second of a root kind outside the pressure phase. */
function normalRateOf(root: RootKind, workload: Workload): number {
  return NORMAL_LOAD_SHARE * saturationRate(workload) * root.share;
}

function drawNode(
  nodes: readonly SimulatedNode[],
  rng: RandomSource,
): SimulatedNode {
  const node = nodes[rng.integerBelow(nodes.length)];
  if (node === undefined) throw new Error("the fleet has no node to draw from");
  return node;
}

/** Crashes one backend server of each service, one service a second. */
function crashOnePerService(
  { fleet, workload, timeline }: DisturbanceContext,
): void {
  for (const [index, { name }] of workload.services.entries()) {
    timeline.after(index * 1_000, () => {
      const [node] = fleet.nodesOf(name);
      node?.backend.crash({ restartMs: 1_000, coldMs: 5_000 });
    });
  }
}

/** Pauses one random node every 3 s, for 0.5 to 3 s. */
function pauseRandomNodes(context: DisturbanceContext): void {
  const { fleet, timeline, rng, pressureMs } = context;
  for (let at = 0; at < pressureMs; at += 3_000) {
    timeline.after(at, () => {
      drawNode(fleet.nodes, rng).pause(500 + rng.uniform() * 2_500);
    });
  }
}

/** Partitions the data centres for the first half of the pressure phase. */
function partitionDataCentres(
  { fleet, timeline, pressureMs }: DisturbanceContext,
): void {
  fleet.setPartitioned(true);
  timeline.after(pressureMs / 2, () => fleet.setPartitioned(false));
}

/** Makes the first backend server of each service leave. */
function leaveOnePerService({ fleet, workload }: DisturbanceContext): void {
  for (const { name } of workload.services) {
    fleet.nodesOf(name)[0]?.backend.startLeaving();
  }
}

/** Sends a poison request, with ten resends, of each of up to two kinds. */
function sendPoisonRequests(context: DisturbanceContext): void {
  const roots = context.workload.roots.filter(({ tree }) =>
    tree.kind.idempotent && tree.children.length === 0
  );
  for (const root of roots.slice(0, 2)) context.sendPoison(root, 10);
}

/** Service time factor of the service that the longest chain calls last. */
function deepSlowdown(workload: Workload): ReadonlyMap<string, number> {
  return new Map([[workload.deepService, SLOW_SERVICE_FACTOR]]);
}

/** All disturbances; each one alone is a scenario of the same name. */
export const DISTURBANCES: readonly Disturbance[] = [
  { name: "steady" },
  { name: "surge", loadFactor: overloadFactor },
  {
    name: "deep-slow",
    loadFactor: overloadFactor,
    slowdown: deepSlowdown,
    begin: ({ fleet, workload }) => {
      fleet.setServiceTimeFactor(workload.deepService, SLOW_SERVICE_FACTOR);
    },
    end: ({ fleet, workload }) =>
      fleet.setServiceTimeFactor(workload.deepService, 1),
  },
  {
    name: "flood-low",
    loadFactor: createFloodLoadFactor("low"),
    floodingKind: ({ lowFloodKind }) => lowFloodKind,
  },
  {
    name: "flood-urgent",
    loadFactor: createFloodLoadFactor("urgent"),
    floodingKind: ({ urgentFloodKind }) => urgentFloodKind,
  },
  { name: "retry-storm", loadFactor: overloadFactor, resends: 3 },
  { name: "cold-start", begin: crashOnePerService },
  {
    name: "leaving",
    begin: leaveOnePerService,
    // `replace` does nothing for a node that is not leaving.
    end: ({ fleet }) => fleet.nodes.forEach((node) => node.replace()),
  },
  { name: "poison", begin: sendPoisonRequests },
  { name: "pause", begin: pauseRandomNodes },
  { name: "partition", begin: partitionDataCentres },
  {
    name: "chain-failing",
    failing: true,
    transformWorkload: createDeepChainWorkload,
  },
];

/** Names of all scenarios. */
export const SCENARIOS: readonly string[] = [
  ...DISTURBANCES.map(({ name }) => name),
  "pair",
];

/**
 * Disturbances of a scenario; undefined if the name is unknown. `pair` draws
 * two at random, or one if it draws the same twice. It leaves out `steady`,
 * which disturbs nothing, and `chain-failing`, which replaces the workload.
 */
export function resolveScenario(
  name: string,
  rng: RandomSource,
): readonly Disturbance[] | undefined {
  if (name !== "pair") {
    const found = DISTURBANCES.find((disturbance) => disturbance.name === name);
    return found === undefined ? undefined : [found];
  }
  const candidates = DISTURBANCES.filter(({ name }) =>
    name !== "steady" && name !== "chain-failing"
  );
  const first = candidates[rng.integerBelow(candidates.length)];
  const second = candidates[rng.integerBelow(candidates.length)];
  if (first === undefined || second === undefined) return undefined;
  return first === second ? [first] : [first, second];
}
