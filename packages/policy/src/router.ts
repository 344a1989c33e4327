/**
 * Load balancing: picks the gate for a call. The own data centre goes first,
 * then the others by distance. Within a data centre, the less loaded of two
 * random gates is picked (power of two choices).
 */

import {
  ACCEPT_LEVEL_TTL_MS,
  EJECT_BASE_MS,
  EJECT_FAILURES_MIN,
  EJECT_MAX_MS,
  EJECT_SHARE_MAX,
  LEAVING_FACT_TTL_MS,
  LOAD_HALF_LIFE_MS,
  OWN_GATE_MARGIN,
  PROTECTED_LEVEL,
  RUN_TIME_REPORT_TTL_MS,
  SLOW_START_MS,
  SLOW_START_SHARE_MIN,
  SPILLOVER_COST_MIN,
  SPILLOVER_MARGIN,
  SUBSET_SIZE,
} from "./constants.ts";
import { drawIndex, type Random } from "./random.ts";
import { resolveSubset } from "./subset.ts";
import type { Upstream, UpstreamReport } from "./upstream.ts";

/** Resolved configuration of a router. */
export interface RouterConfig {
  /** Instance id of the node that routes. */
  readonly nodeId: string;
  /** Data centres in order of distance, the own one first. */
  readonly dataCentres: readonly string[];
  /**
   * Data address of the own gate. Needed where the instance id of the own
   * gate may change.
   * @default the gate whose instance id is `nodeId`
   */
  readonly ownAddress?: string;
  /**
   * Gates of a service per data centre that the router keeps state for.
   * @default SUBSET_SIZE
   */
  readonly subsetSize?: number;
}

/** Requirements of a call on its gate. */
export interface RouteRequest {
  readonly service: string;
  readonly level: number;
  /** Ids of gates that must not be picked. */
  readonly exclude?: ReadonlySet<string>;
  /** Whether gates that are ejected or on probation may be picked. */
  readonly allowEjected?: boolean;
  readonly kind?: string;
  /** Target latency of the call in ms; an answer within it is worth most. */
  readonly objectiveMs?: number;
}

/**
 * Result of an attempt for outlier ejection: a "failure" counts towards
 * ejection, a "refused" attempt shows only that the gate answers.
 */
export type AttemptResult = "success" | "failure" | "refused";

/** Picks gates and records the results of attempts. */
export interface Router {
  /** Replaces the gates of a service; `warm` gates skip the slow start. */
  readonly update: (
    service: string,
    upstreams: readonly Upstream[],
    options: { readonly now: number; readonly warm?: boolean },
  ) => void;
  /** Picks a gate; undefined if no eligible one is known. */
  readonly pick: (
    request: RouteRequest,
    options: { readonly now: number; readonly random: Random },
  ) => Upstream | undefined;
  /** Counts an attempt that is about to be sent. */
  readonly begin: (id: string) => void;
  /** Counts the end of an attempt. */
  readonly end: (
    id: string,
    result: AttemptResult,
    options: { readonly now: number },
  ) => void;
  /** Stores the load that a gate reported. */
  readonly report: (
    id: string,
    report: UpstreamReport,
    options: { readonly now: number; readonly kind?: string },
  ) => void;
  /**
   * Marks a gate as leaving: it is not picked for a while, unless it returns in
   * another incarnation.
   */
  readonly markLeaving: (
    id: string,
    incarnation: string,
    options: { readonly now: number },
  ) => void;
  /** Ignores all reported loads so far, as needed after a process pause. */
  readonly forgetLoads: () => void;
  readonly snapshot: (now: number) => readonly UpstreamStatus[];
}

/** A gate's state, as shown on the status page. */
export interface UpstreamStatus {
  readonly upstream: Upstream;
  readonly outstanding: number;
  readonly leaving: boolean;
  readonly ejected: boolean;
}

interface ReportedRunTime {
  readonly ms: number;
  readonly reportedAt: number;
}

interface GateEntry {
  upstream: Upstream;
  /** Average run time by kind, as the gate last reported it. */
  readonly runTimes: Map<string, ReportedRunTime>;
  /** Start of the slow start; -Infinity for a warm gate. */
  addedAt: number;
  outstanding: number;
  report: UpstreamReport | undefined;
  reportedAt: number;
  /** Outstanding calls of this router that the report includes. */
  ownCallsReported: number;
  /** Time until which it is not picked since it is leaving. */
  leavingUntil: number;
  /** Consecutive failures. */
  failures: number;
  /** Consecutive ejections, without a success in between. */
  ejections: number;
  ejectedUntil: number;
}

interface Pool {
  readonly byDataCentre: ReadonlyMap<string, readonly GateEntry[]>;
  readonly size: number;
}

function createEntry(upstream: Upstream, addedAt: number): GateEntry {
  return {
    upstream,
    runTimes: new Map(),
    addedAt,
    outstanding: 0,
    report: undefined,
    reportedAt: -Infinity,
    ownCallsReported: 0,
    leavingUntil: -Infinity,
    failures: 0,
    ejections: 0,
    ejectedUntil: -Infinity,
  };
}

/**
 * Calls at a gate relative to its concurrency limit. The reported part decays
 * with age, and a gate in slow start appears more loaded than it is.
 */
function relativeLoad(entry: GateEntry, now: number): number {
  const { report, outstanding } = entry;
  const age = now - entry.reportedAt;
  const weight = report ? 0.5 ** (age / LOAD_HALF_LIFE_MS) : 0;
  // Outstanding calls of this router are added below, so they are subtracted
  // from the report.
  const foreignCalls = report
    ? Math.max(0, report.inFlight + report.queued - entry.ownCallsReported)
    : 0;
  const calls = weight * foreignCalls + outstanding;
  const usage = calls / Math.max(1, report?.limit ?? 1);
  const ramp = (now - entry.addedAt) / SLOW_START_MS;
  const share = Math.min(1, Math.max(SLOW_START_SHARE_MIN, ramp));
  // The constant lets slow start apply to an idle gate as well.
  return (usage + 0.01) / share;
}

/**
 * Average run time at a gate relative to the call's target latency. It steers
 * calls with a tight target to fast gates; for others the load dominates.
 */
function latencyCost(
  entry: GateEntry,
  request: RouteRequest,
  now: number,
): number {
  const { kind, objectiveMs } = request;
  if (kind === undefined || objectiveMs === undefined) return 0;
  const last = entry.runTimes.get(kind);
  if (last === undefined || now - last.reportedAt > RUN_TIME_REPORT_TTL_MS) {
    return 0;
  }
  return last.ms / objectiveMs;
}

function routingCost(
  entry: GateEntry,
  request: RouteRequest,
  now: number,
): number {
  return relativeLoad(entry, now) + latencyCost(entry, request, now);
}

/** Whether a gate may be picked for a call at present. */
function isEligible(
  entry: GateEntry,
  request: RouteRequest,
  now: number,
): boolean {
  if (entry.leavingUntil > now) return false;
  if (request.exclude?.has(entry.upstream.id)) return false;
  if (entry.ejectedUntil > now) return request.allowEjected === true;
  // A gate that returns from ejection gets one call at a time until it answers
  // one. A refusal counts as an answer, unless the backend server is down.
  const isOnProbation = entry.ejections > 0 &&
    entry.failures >= EJECT_FAILURES_MIN - 1;
  if (isOnProbation && entry.outstanding > 0) {
    return request.allowEjected === true;
  }
  if (request.level >= PROTECTED_LEVEL) return true;
  const reportIsFresh = now - entry.reportedAt < ACCEPT_LEVEL_TTL_MS;
  return !reportIsFresh || (entry.report?.acceptLevel ?? 0) <= request.level;
}

/** Creates a router that knows no gates. */
export function createRouter(config: RouterConfig): Router {
  const subsetSize = config.subsetSize ?? SUBSET_SIZE;
  const entries = new Map<string, GateEntry>();
  const pools = new Map<string, Pool>();

  function upsertEntry(
    upstream: Upstream,
    options: { readonly now: number; readonly warm?: boolean },
  ): GateEntry {
    const known = entries.get(upstream.id);
    const current = known?.upstream.incarnation === upstream.incarnation &&
      known.upstream.startedAt === upstream.startedAt;
    if (known && current) {
      known.upstream = upstream;
      return known;
    }
    const addedAt = options.warm ? -Infinity : options.now;
    const entry = createEntry(upstream, addedAt);
    entries.set(upstream.id, entry);
    return entry;
  }

  function isOwnGate({ id, address }: Upstream): boolean {
    const { ownAddress, nodeId } = config;
    return ownAddress === undefined ? id === nodeId : address === ownAddress;
  }

  function pickFrom(
    pool: readonly GateEntry[],
    request: RouteRequest,
    options: { readonly now: number; readonly random: Random },
  ): GateEntry | undefined {
    const { now, random } = options;
    const eligible = pool.filter((entry) => isEligible(entry, request, now));
    if (eligible.length <= 1) return eligible[0];
    const first = drawIndex(random, eligible.length);
    const step = 1 + drawIndex(random, eligible.length - 1);
    const a = eligible[first];
    const b = eligible[(first + step) % eligible.length];
    if (a === undefined || b === undefined) return a ?? b;
    const cost = (entry: GateEntry) => routingCost(entry, request, now);
    const cheaper = cost(a) <= cost(b) ? a : b;
    const own = eligible.find(({ upstream }) => isOwnGate(upstream));
    if (own === undefined || own === cheaper) return cheaper;
    // The own gate needs no network connection, so it gets a margin.
    return cost(own) - OWN_GATE_MARGIN <= cost(cheaper) ? own : cheaper;
  }

  /** Whether one more gate of a service may be ejected. */
  function mayEject(service: string, now: number): boolean {
    const pool = pools.get(service);
    if (pool === undefined) return false;
    let ejected = 0;
    for (const members of pool.byDataCentre.values()) {
      ejected += members.filter((entry) => entry.ejectedUntil > now).length;
    }
    return ejected + 1 <= Math.floor(pool.size * EJECT_SHARE_MAX);
  }

  function recordFailure(entry: GateEntry, now: number): void {
    entry.failures++;
    if (entry.failures < EJECT_FAILURES_MIN) return;
    if (!mayEject(entry.upstream.service, now)) return;
    const ejectionMs = EJECT_BASE_MS * 2 ** entry.ejections;
    entry.ejectedUntil = now + Math.min(EJECT_MAX_MS, ejectionMs);
    entry.ejections++;
    // After the ejection a single failure ejects the gate again.
    entry.failures = EJECT_FAILURES_MIN - 1;
  }

  return {
    update: (service, upstreams, options) => {
      const byDataCentre = new Map<string, readonly GateEntry[]>();
      const kept = new Set<string>();
      let size = 0;
      for (const dataCentre of config.dataCentres) {
        const local = upstreams.filter((up) => up.dataCentre === dataCentre);
        const subset = resolveSubset(local, subsetSize, {
          hashKey: config.nodeId,
        });
        const members = subset.map((up) => upsertEntry(up, options));
        for (const { upstream } of members) kept.add(upstream.id);
        size += members.length;
        byDataCentre.set(dataCentre, members);
      }
      for (const [id, entry] of entries) {
        if (entry.upstream.service === service && !kept.has(id)) {
          entries.delete(id);
        }
      }
      pools.set(service, { byDataCentre, size });
    },
    pick: (request, options) => {
      const pool = pools.get(request.service);
      if (pool === undefined) return undefined;
      let best: GateEntry | undefined;
      let bestCost = Infinity;
      for (const dataCentre of config.dataCentres) {
        const members = pool.byDataCentre.get(dataCentre) ?? [];
        const entry = pickFrom(members, request, options);
        if (entry === undefined) continue;
        const cost = routingCost(entry, request, options.now);
        if (cost + SPILLOVER_MARGIN < bestCost) {
          best = entry;
          bestCost = cost;
        }
        if (bestCost < SPILLOVER_COST_MIN) break;
      }
      return best?.upstream;
    },
    begin: (id) => {
      const entry = entries.get(id);
      if (entry) entry.outstanding++;
    },
    end: (id, result, { now }) => {
      const entry = entries.get(id);
      if (entry === undefined) return;
      entry.outstanding = Math.max(0, entry.outstanding - 1);
      if (result === "failure") return recordFailure(entry, now);
      entry.failures = 0;
      if (result === "success") entry.ejections = 0;
    },
    report: (id, report, { now, kind }) => {
      const entry = entries.get(id);
      if (entry === undefined) return;
      entry.report = report;
      entry.reportedAt = now;
      // The call whose answer carries the report has ended at the gate, so the
      // report no longer includes it.
      entry.ownCallsReported = Math.max(0, entry.outstanding - 1);
      const { usualMs = 0 } = report;
      if (kind !== undefined && usualMs > 0) {
        entry.runTimes.set(kind, { ms: usualMs, reportedAt: now });
      }
      if (report.leaving) entry.leavingUntil = now + LEAVING_FACT_TTL_MS;
    },
    markLeaving: (id, incarnation, { now }) => {
      const entry = entries.get(id);
      if (entry?.upstream.incarnation !== incarnation) return;
      entry.leavingUntil = now + LEAVING_FACT_TTL_MS;
    },
    forgetLoads: () => {
      for (const entry of entries.values()) entry.reportedAt = -Infinity;
    },
    snapshot: (now) =>
      [...entries.values()].map((entry) => ({
        upstream: entry.upstream,
        outstanding: entry.outstanding,
        leaving: entry.leavingUntil > now,
        ejected: entry.ejectedUntil > now,
      })),
  };
}
