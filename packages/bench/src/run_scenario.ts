/**
 * Runs one scenario in virtual time and measures the result. A run consists of
 * a warm-up, the pressure phase, in which the scenario's disturbances act, a
 * cool-down, and a drain without new requests.
 */

import { bestGoodput, bestRankedGoodput, saturationRate } from "./capacity.ts";
import { createCallers, type RequestRecord } from "./callers.ts";
import {
  answeredShare,
  isDuringPressure,
  type KindResult,
  largest,
  recoveryTimeOf,
  type SimulationRecord,
  sum,
  summarizeKind,
  weightOf,
} from "./measures.ts";
import { NORMAL_LOAD_SHARE } from "./constants.ts";
import { createRunCounts } from "./fake_backend.ts";
import { createSimulatedFleet } from "./fleet.ts";
import { createRandomSource } from "./random.ts";
import { type Disturbance, resolveScenario } from "./scenarios.ts";
import { createTimeline } from "./timeline.ts";
import type { Variant } from "./variants.ts";
import type { RootKind, Workload } from "./workload.ts";

/** Options of a run. */
export interface RunOptions {
  readonly scenario: string;
  readonly workload: Workload;
  readonly variant: Variant;
  readonly seed: number;
  /** Load during the pressure phase, as a multiple of the capacity. */
  readonly overload: number;
  /** Length of the pressure phase, in ms. */
  readonly pressureMs: number;
}

/** Result of a run; the fields are printed with `--json`. */
export interface RunResult {
  readonly scenario: string;
  readonly disturbances: readonly string[];
  readonly deployment: string;
  readonly seed: number;
  readonly overload: number;
  readonly variant: string;
  /** Requests sent in the whole run. */
  readonly sent: number;
  /** Requests answered before their deadline in the whole run. */
  readonly answeredWhole: number;
  /** Weighted answers per second during the pressure phase. */
  readonly goodput: number;
  /** Highest goodput that the slots allow for the requests of the phase. */
  readonly capacity: number;
  /** `goodput` as a share of `capacity`. */
  readonly goodputRatio: number;
  /**
   * `goodput` as a share of the highest goodput that is possible when all
   * services order calls by rank; equal to `goodputRatio` if one does not.
   */
  readonly rankedRatio: number;
  /** Time to recover after the pressure phase; null if it never did. */
  readonly recoveryMs: number | null;
  /** Protected calls refused although less important work got a slot. */
  readonly rankInversions: number;
  /** Weighted share of the pressure phase's protected requests answered. */
  readonly protectedAnsweredRatio: number;
  /**
   * Answered share of the kinds that do not flood, relative to a run without
   * the flood; null if no kind floods.
   */
  readonly otherKeptRatio: number | null;
  /**
   * Most runs of one request at one depth of its call tree. Resends of a
   * request that may run more than once count as requests of their own.
   */
  readonly maxAttemptsPerRoot: number;
  /** Attempts of all calls per request, retries and nested calls included. */
  readonly attemptsPerRoot: number;
  /** Repeated runs of requests that must not run twice. */
  readonly duplicateRuns: number;
  /** Requests reported as not run although a backend server ran them. */
  readonly falseNotRun: number;
  /** Answers that belong to another request. */
  readonly wrongAnswers: number;
  /**
   * Longest time between the start of leaving and the start of a run, in ms.
   */
  readonly newWorkAfterLeavingMs: number;
  /** Runs in progress or queued when a leaving backend server stopped. */
  readonly cutInFlight: number;
  /** Crashes per request that crashes what runs it; 0 if none was sent. */
  readonly crashesPerPoison: number;
  /** Requests sent during the pressure phase, by kind. */
  readonly kinds: readonly KindResult[];
}

/** Time before the pressure phase. */
const WARM_UP_MS = 5_000;
/** Time after the pressure phase in which callers still send. */
const COOL_DOWN_MS = 10_000;
/** Time after the last request, for calls that are still in progress. */
const DRAIN_MS = 6_000;

/** Largest load factor of the disturbances for a root kind, at least 1. */
function combinedLoadFactor(
  root: RootKind,
  disturbances: readonly Disturbance[],
  options: RunOptions,
): number {
  const { workload, overload } = options;
  const context = { workload, overload };
  return disturbances.reduce(
    (factor, { loadFactor }) =>
      Math.max(factor, loadFactor?.(root, context) ?? 1),
    1,
  );
}

/** Simulates one run from the warm-up to the drain. */
function simulate(
  options: RunOptions,
  disturbances: readonly Disturbance[],
): SimulationRecord {
  const { workload, variant, seed, overload, pressureMs } = options;
  const timeline = createTimeline();
  const rng = createRandomSource(seed);
  const runCounts = createRunCounts();
  const fleet = createSimulatedFleet({
    workload,
    variant,
    timeline,
    rng,
    runCounts,
  });
  const pressureStart = WARM_UP_MS;
  const pressureEnd = pressureStart + pressureMs;
  const sendingEnd = pressureEnd + COOL_DOWN_MS;
  const capacityRate = saturationRate(workload);
  const factors = new Map(workload.roots.map((root) => [
    root.name,
    combinedLoadFactor(root, disturbances, options),
  ]));
  const isPressurePhase = () =>
    timeline.now() >= pressureStart && timeline.now() < pressureEnd;
  const resends = Math.max(...disturbances.map((d) => d.resends ?? 0));
  let poisonRequests = 0;
  const callers = createCallers({
    workload,
    fleet,
    timeline,
    rng,
    runCounts,
    rateOf: (root) => {
      const factor = isPressurePhase() ? factors.get(root.name) ?? 1 : 1;
      return NORMAL_LOAD_SHARE * capacityRate * root.share * factor;
    },
    failing: () => isPressurePhase() && disturbances.some((d) => d.failing),
    resends: () => isPressurePhase() ? resends : 0,
  });
  const context = {
    fleet,
    workload,
    timeline,
    rng,
    overload,
    pressureMs,
    sendPoison: (root: RootKind, count: number) => {
      poisonRequests++;
      callers.sendPoison(root, count);
    },
  };
  timeline.after(pressureStart, () => {
    for (const { begin } of disturbances) begin?.(context);
  });
  timeline.after(pressureEnd, () => {
    for (const { end } of disturbances) end?.(context);
  });
  callers.start(sendingEnd);
  timeline.runUntil(sendingEnd + DRAIN_MS);
  const { requests, wrongAnswers, falseNotRun } = callers.counts;
  const { attempts, rankInversions } = fleet.observations;
  return {
    requests,
    runCounts,
    attempts,
    rankInversions,
    wrongAnswers,
    falseNotRun,
    poisonRequests,
    pressureStart,
    pressureEnd,
    sendingEnd,
  };
}

function combineSlowdowns(
  disturbances: readonly Disturbance[],
  workload: Workload,
): ReadonlyMap<string, number> {
  const factors = new Map<string, number>();
  for (const { slowdown } of disturbances) {
    for (const [service, factor] of slowdown?.(workload) ?? []) {
      factors.set(service, factor);
    }
  }
  return factors;
}

/** Highest possible goodput for the requests of the pressure phase. */
function capacityOf(
  record: SimulationRecord,
  disturbances: readonly Disturbance[],
  options: RunOptions,
): { readonly best: number; readonly ranked: number } {
  const { workload } = options;
  const offered = new Map<string, number>();
  for (const request of record.requests) {
    if (!isDuringPressure(request.sentAt, record)) continue;
    const { name } = request.root;
    offered.set(name, (offered.get(name) ?? 0) + 1);
  }
  const windowMs = record.pressureEnd - record.pressureStart;
  const slowdown = combineSlowdowns(disturbances, workload);
  const capacity = { windowMs, slowdown };
  const seconds = windowMs / 1_000;
  return {
    best: bestGoodput(workload, offered, capacity) / seconds,
    ranked: bestRankedGoodput(workload, offered, capacity) / seconds,
  };
}

/**
 * Answered share of the kinds that do not flood, relative to a run without the
 * flood; null if no kind floods.
 */
function otherKeptRatioOf(
  record: SimulationRecord,
  disturbances: readonly Disturbance[],
  options: RunOptions,
): number | null {
  const floodingKinds = disturbances.flatMap(({ floodingKind }) =>
    floodingKind ? [floodingKind(options.workload)] : []
  );
  if (floodingKinds.length === 0) return null;
  const isOther = (request: RequestRecord) =>
    isDuringPressure(request.sentAt, record) &&
    !floodingKinds.includes(request.root.name);
  const steady = resolveScenario("steady", createRandomSource(options.seed)) ??
    [];
  const undisturbed = simulate(options, steady);
  const flooded = answeredShare(record.requests, isOther);
  return flooded / answeredShare(undisturbed.requests, isOther);
}

/** Runs a scenario; returns undefined if the name is unknown. */
export function runScenario(requested: RunOptions): RunResult | undefined {
  const rng = createRandomSource(requested.seed);
  const disturbances = resolveScenario(requested.scenario, rng);
  if (disturbances === undefined) return undefined;
  const workload = disturbances.reduce(
    (current, { transformWorkload }) => transformWorkload?.(current) ?? current,
    requested.workload,
  );
  const options = { ...requested, workload };
  const record = simulate(options, disturbances);
  const { requests, runCounts, pressureStart, pressureEnd } = record;
  const seconds = (pressureEnd - pressureStart) / 1_000;
  const answeredInTime = requests.filter((r) =>
    isDuringPressure(r.answeredAt, record)
  );
  const goodput = sum(answeredInTime, weightOf) / seconds;
  const capacity = capacityOf(record, disturbances, options);
  const isProtected = (request: RequestRecord) =>
    isDuringPressure(request.sentAt, record) &&
    request.root.tree.kind.protected;
  return {
    scenario: options.scenario,
    disturbances: disturbances.map(({ name }) => name),
    deployment: options.workload.name,
    seed: options.seed,
    overload: options.overload,
    variant: options.variant.name,
    sent: requests.length,
    answeredWhole: requests.filter((r) => r.answeredAt !== undefined).length,
    goodput,
    capacity: capacity.best,
    goodputRatio: goodput / capacity.best,
    rankedRatio: goodput / capacity.ranked,
    recoveryMs: recoveryTimeOf(record),
    rankInversions: record.rankInversions,
    protectedAnsweredRatio: answeredShare(requests, isProtected),
    otherKeptRatio: otherKeptRatioOf(record, disturbances, options),
    maxAttemptsPerRoot: largest(runCounts.runsPerDepth.values()),
    attemptsPerRoot: record.attempts / Math.max(1, requests.length),
    duplicateRuns: sum(runCounts.runsOnce.values(), (runs) => runs - 1),
    falseNotRun: record.falseNotRun,
    wrongAnswers: record.wrongAnswers,
    newWorkAfterLeavingMs: runCounts.lastRunAfterLeavingMs,
    cutInFlight: runCounts.cutInFlight,
    crashesPerPoison: record.poisonRequests === 0
      ? 0
      : runCounts.poisonCrashes / record.poisonRequests,
    kinds: options.workload.roots.map(({ name }) =>
      summarizeKind(record, name)
    ),
  };
}
