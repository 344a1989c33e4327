/** Highest goodput that the slots allow, computed by a linear program. */

import { resolveKindLevel } from "@coltsfootdeal/bundle";
import solver from "javascript-lp-solver";
import { LOCAL_LATENCY_MS } from "./constants.ts";
import type { CallTree, RootKind, Workload } from "./workload.ts";

/** The library's types declare another module format than it ships. */
const lpSolver = solver as unknown as {
  readonly Solve: (model: object) => { readonly result?: number };
};

/** Factor on the service time, by service; 1 for services not listed. */
export type Slowdown = ReadonlyMap<string, number>;

/** Slot time that one request takes at each service, in ms. */
export function slotTimeOf(
  tree: CallTree,
  workload: Workload,
  options: { readonly slowdown: Slowdown },
): ReadonlyMap<string, number> {
  const times = new Map<string, number>();

  /** Adds the time that a call holds its slot, nested calls included. */
  function addSlotTime(call: CallTree): number {
    const service = workload.services.find(({ name }) => name === call.service);
    const factor = options.slowdown.get(call.service) ?? 1;
    let time = (service?.serviceMs ?? 0) * factor;
    for (const child of call.children) {
      time += addSlotTime(child) + 2 * LOCAL_LATENCY_MS;
    }
    times.set(call.service, (times.get(call.service) ?? 0) + time);
    return time;
  }
  addSlotTime(tree);
  return times;
}

/** Number of slots of all instances of a service together. */
export function totalSlotsOf(workload: Workload, service: string): number {
  const foundService = workload.services.find(({ name }) => name === service);
  return (foundService?.slots ?? 0) * (foundService?.upstreams ?? 0);
}

/** Requests per second at which the busiest service uses all its slots. */
export function saturationRate(workload: Workload): number {
  let bottleneckMs = 0;
  for (const { name } of workload.services) {
    let slotMsPerRequest = 0;
    for (const { tree, share } of workload.roots) {
      const times = slotTimeOf(tree, workload, { slowdown: new Map() });
      slotMsPerRequest += share * (times.get(name) ?? 0);
    }
    bottleneckMs = Math.max(
      bottleneckMs,
      slotMsPerRequest / totalSlotsOf(workload, name),
    );
  }
  return 1_000 / bottleneckMs;
}

/** Conditions that the highest goodput is computed for. */
export interface CapacityOptions {
  /** Time for which the slots can be used. */
  readonly windowMs: number;
  readonly slowdown: Slowdown;
}

/** Coefficients of the constraints and objectives, by root kind. */
type Variables = Record<string, Record<string, number>>;
type Constraints = Record<string, { max?: number; min?: number }>;

interface LinearProgram {
  readonly constraints: Constraints;
  readonly variables: Variables;
}

/** Limits each service to its slots and each root kind to what is offered. */
function buildLinearProgram(
  workload: Workload,
  offered: ReadonlyMap<string, number>,
  options: CapacityOptions,
): LinearProgram {
  const constraints: Constraints = {};
  const variables: Variables = {};
  for (const { name } of workload.services) {
    constraints[`slots ${name}`] = {
      max: totalSlotsOf(workload, name) * options.windowMs,
    };
  }
  for (const root of workload.roots) {
    constraints[`offered ${root.name}`] = { max: offered.get(root.name) ?? 0 };
    variables[root.name] = variableOf(root, workload, options.slowdown);
  }
  return { constraints, variables };
}

function maximise(program: LinearProgram, objective: string): number {
  const { constraints, variables } = program;
  const model = {
    optimize: objective,
    opType: "max",
    constraints,
    variables,
  };
  return lpSolver.Solve(model).result ?? 0;
}

/**
 * Highest weighted sum of answers that the slots allow. `offered` holds the
 * number of requests by root kind.
 */
export function bestGoodput(
  workload: Workload,
  offered: ReadonlyMap<string, number>,
  options: CapacityOptions,
): number {
  return maximise(buildLinearProgram(workload, offered, options), "worth");
}

/**
 * Highest weighted sum of answers if all services order calls by rank: each
 * kind in the order of its level gets as many slots as it can use before the
 * next one, whatever its weight. Equal to {@link bestGoodput} if a service
 * orders calls by worth.
 */
export function bestRankedGoodput(
  workload: Workload,
  offered: ReadonlyMap<string, number>,
  options: CapacityOptions,
): number {
  const byRank = workload.catalog.services().every((s) => s.order === "rank");
  if (!byRank) return bestGoodput(workload, offered, options);
  const { constraints, variables } = buildLinearProgram(
    workload,
    offered,
    options,
  );
  const context = { catalog: workload.catalog, slotMs: 0 };
  const ordered = [...workload.roots].sort((a, b) =>
    resolveKindLevel(b.tree.kind, context) -
    resolveKindLevel(a.tree.kind, context)
  );
  let goodput = 0;
  for (const { name, tree } of ordered) {
    const offeredConstraint = `offered ${name}`;
    const answered = maximise({ constraints, variables }, `count ${name}`);
    // Slightly less, since rounding can make the exact minimum infeasible.
    constraints[offeredConstraint] = {
      max: answered,
      min: answered * (1 - 1e-9),
    };
    goodput += answered * tree.kind.weight;
  }
  return goodput;
}

/** Coefficients of one root kind; `worth` and `count` are objectives. */
function variableOf(
  root: RootKind,
  workload: Workload,
  slowdown: Slowdown,
): Record<string, number> {
  const variable: Record<string, number> = {
    worth: root.tree.kind.weight,
    [`offered ${root.name}`]: 1,
    [`count ${root.name}`]: 1,
  };
  const times = slotTimeOf(root.tree, workload, { slowdown });
  for (const [service, time] of times) variable[`slots ${service}`] = time;
  return variable;
}
