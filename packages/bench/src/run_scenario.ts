/** Runs one scenario in virtual time and measures it. */

import { bestGoodput, bestRankedGoodput, fullRate } from "./capacity.ts";
import { createCallers, type RequestRecord } from "./callers.ts";
import {
  answeredShare,
  isWithin,
  kindOf,
  type KindResult,
  largest,
  recoveryOf,
  type Session,
  sum,
  weightOf,
} from "./measures.ts";
import { CALM_LOAD } from "./constants.ts";
import { createTruth } from "./fake_backend.ts";
import { createSimulatedFleet } from "./fleet.ts";
import { createDraw } from "./random.ts";
import { type Disturbance, resolveScenario } from "./scenarios.ts";
import { createTimeline } from "./timeline.ts";
import type { Variant } from "./variants.ts";
import type { RootKind, Workload } from "./workload.ts";

/** What is to be run. */
export interface RunOptions {
  readonly scenario: string;
  readonly workload: Workload;
  readonly variant: Variant;
  readonly seed: number;
  readonly overload: number;
  /** Length of the pressure, in ms. */
  readonly pressureMs: number;
}

/** One line of results. */
export interface RunResult {
  readonly scenario: string;
  readonly disturbances: readonly string[];
  readonly deployment: string;
  readonly seed: number;
  readonly overload: number;
  readonly variant: string;
  readonly sent: number;
  readonly answeredWhole: number;
  /** Weighted answers a second during the pressure. */
  readonly goodput: number;
  /** The most that the slots could have answered, weighted, a second. */
  readonly capacity: number;
  readonly goodputRatio: number;
  /** The same against what is possible where rank goes before worth. */
  readonly rankedRatio: number;
  readonly recoveryMs: number | null;
  readonly rankInversions: number;
  readonly protectedAnsweredRatio: number;
  readonly otherKeptRatio: number | null;
  readonly maxAttemptsPerRoot: number;
  readonly attemptsPerRoot: number;
  readonly duplicateRuns: number;
  readonly falseNotRun: number;
  readonly wrongAnswers: number;
  readonly newWorkAfterLeavingMs: number;
  readonly cutInFlight: number;
  readonly crashesPerPoison: number;
  /** Requests sent during the pressure, by kind. */
  readonly kinds: readonly KindResult[];
}

const WARM_UP_MS = 5_000;
const COOL_DOWN_MS = 10_000;
const DRAIN_MS = 6_000;

function loadFactor(
  root: RootKind,
  disturbances: readonly Disturbance[],
  options: RunOptions,
): number {
  const { workload, overload } = options;
  const stage = { workload, overload };
  return disturbances.reduce(
    (factor, { load }) => Math.max(factor, load?.(root, stage) ?? 1),
    1,
  );
}

function runSession(
  options: RunOptions,
  disturbances: readonly Disturbance[],
): Session {
  const { workload, variant, seed, overload, pressureMs } = options;
  const timeline = createTimeline();
  const draw = createDraw(seed);
  const truth = createTruth();
  const fleet = createSimulatedFleet({
    workload,
    variant,
    timeline,
    draw,
    truth,
  });
  const from = WARM_UP_MS;
  const to = from + pressureMs;
  const end = to + COOL_DOWN_MS;
  const full = fullRate(workload);
  const factors = new Map(workload.roots.map((root) => [
    root.name,
    loadFactor(root, disturbances, options),
  ]));
  const underPressure = () => timeline.now() >= from && timeline.now() < to;
  const resends = Math.max(...disturbances.map((d) => d.resends ?? 0));
  let poisons = 0;
  const callers = createCallers({
    workload,
    fleet,
    timeline,
    draw,
    truth,
    rateOf: (root) => {
      const factor = underPressure() ? factors.get(root.name) ?? 1 : 1;
      return CALM_LOAD * full * root.share * factor;
    },
    failing: () => underPressure() && disturbances.some((d) => d.failing),
    resends: () => underPressure() ? resends : 0,
  });
  const stage = {
    fleet,
    workload,
    timeline,
    draw,
    overload,
    pressureMs,
    poison: (root: RootKind, count: number) => {
      poisons++;
      callers.poison(root, count);
    },
  };
  timeline.after(from, () => {
    for (const { begin } of disturbances) begin?.(stage);
  });
  timeline.after(to, () => {
    for (const { end } of disturbances) end?.(stage);
  });
  callers.start(end);
  timeline.runUntil(end + DRAIN_MS);
  const { requests, wrongAnswers, falseNotRun } = callers.counts;
  const { attempts, rankInversions } = fleet.observations;
  return {
    requests,
    truth,
    attempts,
    rankInversions,
    wrongAnswers,
    falseNotRun,
    poisons,
    from,
    to,
    end,
  };
}

function slowdownOf(
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

function capacityOf(
  session: Session,
  disturbances: readonly Disturbance[],
  options: RunOptions,
): { readonly best: number; readonly ranked: number } {
  const { workload } = options;
  const offered = new Map<string, number>();
  for (const request of session.requests) {
    if (!isWithin(request.sentAt, session)) continue;
    const { name } = request.root;
    offered.set(name, (offered.get(name) ?? 0) + 1);
  }
  const windowMs = session.to - session.from;
  const slowdown = slowdownOf(disturbances, workload);
  const capacity = { windowMs, slowdown };
  const seconds = windowMs / 1_000;
  return {
    best: bestGoodput(workload, offered, capacity) / seconds,
    ranked: bestRankedGoodput(workload, offered, capacity) / seconds,
  };
}

/** What the kinds that do not flood keep of their unflooded goodput. */
function keptOf(
  session: Session,
  disturbances: readonly Disturbance[],
  options: RunOptions,
): number | null {
  const floods = disturbances.flatMap(({ flood }) =>
    flood ? [flood(options.workload)] : []
  );
  if (floods.length === 0) return null;
  const isOther = (request: RequestRecord) =>
    isWithin(request.sentAt, session) && !floods.includes(request.root.name);
  const steady = resolveScenario("steady", createDraw(options.seed)) ?? [];
  const calm = runSession(options, steady);
  const flooded = answeredShare(session.requests, isOther);
  return flooded / answeredShare(calm.requests, isOther);
}

/** Runs a scenario; undefined if there is none of that name. */
export function runScenario(given: RunOptions): RunResult | undefined {
  const draw = createDraw(given.seed);
  const disturbances = resolveScenario(given.scenario, draw);
  if (disturbances === undefined) return undefined;
  const workload = disturbances.reduce(
    (prepared, { prepare }) => prepare?.(prepared) ?? prepared,
    given.workload,
  );
  const options = { ...given, workload };
  const session = runSession(options, disturbances);
  const { requests, truth, from, to } = session;
  const seconds = (to - from) / 1_000;
  const inTime = requests.filter((r) => isWithin(r.answeredAt, session));
  const goodput = sum(inTime, weightOf) / seconds;
  const capacity = capacityOf(session, disturbances, options);
  const isProtected = (request: RequestRecord) =>
    isWithin(request.sentAt, session) && request.root.tree.kind.protected;
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
    recoveryMs: recoveryOf(session),
    rankInversions: session.rankInversions,
    protectedAnsweredRatio: answeredShare(requests, isProtected),
    otherKeptRatio: keptOf(session, disturbances, options),
    maxAttemptsPerRoot: largest(truth.runsPerDepth.values()),
    attemptsPerRoot: session.attempts / Math.max(1, requests.length),
    duplicateRuns: sum(truth.runsOnce.values(), (runs) => runs - 1),
    falseNotRun: session.falseNotRun,
    wrongAnswers: session.wrongAnswers,
    newWorkAfterLeavingMs: truth.lastRunAfterLeavingMs,
    cutInFlight: truth.cutInFlight,
    crashesPerPoison: session.poisons === 0
      ? 0
      : truth.poisonCrashes / session.poisons,
    kinds: options.workload.roots.map(({ name }) => kindOf(session, name)),
  };
}
