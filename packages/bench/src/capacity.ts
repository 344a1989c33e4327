/** What the slots could have answered at most: a small linear programme. */

import { resolveKindLevel } from "@coltsfootdeal/bundle";
import solver from "javascript-lp-solver";
import { LOCAL_LATENCY_MS } from "./constants.ts";
import type { CallTree, RootKind, Workload } from "./workload.ts";

/** The library's types describe another module format than it has. */
const api = solver as unknown as {
  readonly Solve: (model: object) => { readonly result?: number };
};

/** Slowdown of services, by name. */
export type Slowdown = ReadonlyMap<string, number>;

/** Slot time that one request takes at each service, in ms. */
export function slotTimeOf(
  tree: CallTree,
  workload: Workload,
  options: { readonly slowdown: Slowdown },
): ReadonlyMap<string, number> {
  const times = new Map<string, number>();

  /** Time that the call holds its slot, with all calls further down. */
  function hold(call: CallTree): number {
    const service = workload.services.find(({ name }) => name === call.service);
    const factor = options.slowdown.get(call.service) ?? 1;
    let time = (service?.serviceMs ?? 0) * factor;
    for (const child of call.children) {
      time += hold(child) + 2 * LOCAL_LATENCY_MS;
    }
    times.set(call.service, (times.get(call.service) ?? 0) + time);
    return time;
  }
  hold(tree);
  return times;
}

/** Slots of a service over all backend servers. */
export function slotsOf(workload: Workload, service: string): number {
  const found = workload.services.find(({ name }) => name === service);
  return (found?.slots ?? 0) * (found?.upstreams ?? 0);
}

/** Requests a second at which the busiest service is just full. */
export function fullRate(workload: Workload): number {
  let worst = 0;
  for (const { name } of workload.services) {
    let use = 0;
    for (const { tree, share } of workload.roots) {
      const times = slotTimeOf(tree, workload, { slowdown: new Map() });
      use += share * (times.get(name) ?? 0);
    }
    worst = Math.max(worst, use / slotsOf(workload, name));
  }
  return 1_000 / worst;
}

/** What the best use of the slots is computed for. */
export interface CapacityOptions {
  readonly windowMs: number;
  readonly slowdown: Slowdown;
}

type Variables = Record<string, Record<string, number>>;
type Constraints = Record<string, { max?: number; min?: number }>;

interface Programme {
  readonly constraints: Constraints;
  readonly variables: Variables;
}

function buildProgramme(
  workload: Workload,
  offered: ReadonlyMap<string, number>,
  options: CapacityOptions,
): Programme {
  const constraints: Constraints = {};
  const variables: Variables = {};
  for (const { name } of workload.services) {
    constraints[`slots ${name}`] = {
      max: slotsOf(workload, name) * options.windowMs,
    };
  }
  for (const root of workload.roots) {
    constraints[`offered ${root.name}`] = { max: offered.get(root.name) ?? 0 };
    variables[root.name] = variableOf(root, workload, options.slowdown);
  }
  return { constraints, variables };
}

function maximise(programme: Programme, goal: string): number {
  const { constraints, variables } = programme;
  const model = { optimize: goal, opType: "max", constraints, variables };
  return api.Solve(model).result ?? 0;
}

/** Weighted goodput that the slots allow for what was offered. */
export function bestGoodput(
  workload: Workload,
  offered: ReadonlyMap<string, number>,
  options: CapacityOptions,
): number {
  return maximise(buildProgramme(workload, offered, options), "worth");
}

/**
 * The same where services are ordered by rank: each rank takes what it can
 * before the next one, whatever it is worth.
 */
export function bestRankedGoodput(
  workload: Workload,
  offered: ReadonlyMap<string, number>,
  options: CapacityOptions,
): number {
  const byRank = workload.catalog.services().every((s) => s.order === "rank");
  if (!byRank) return bestGoodput(workload, offered, options);
  const { constraints, variables } = buildProgramme(workload, offered, options);
  const context = { catalog: workload.catalog, slotMs: 0 };
  const ordered = [...workload.roots].sort((a, b) =>
    resolveKindLevel(b.tree.kind, context) -
    resolveKindLevel(a.tree.kind, context)
  );
  let goodput = 0;
  for (const { name, tree } of ordered) {
    const goal = `offered ${name}`;
    const most = maximise({ constraints, variables }, `count ${name}`);
    // A trace less, so that rounding does not make it infeasible.
    constraints[goal] = { max: most, min: most * (1 - 1e-9) };
    goodput += most * tree.kind.weight;
  }
  return goodput;
}

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
