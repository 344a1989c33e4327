/**
 * Chooses the gate for a call: own data centre first, then the nearest other
 * one; within a data centre the less loaded of two drawn at random.
 */

import {
  ACCEPT_LEVEL_TTL_MS,
  EJECT_BASE_MS,
  EJECT_FAILURES_MIN,
  EJECT_MAX_MS,
  EJECT_SHARE_MAX,
  LOAD_HALF_LIFE_MS,
  OWN_GATE_MARGIN,
  PROTECTED_LEVEL,
  RUN_TIME_REPORT_TTL_MS,
  SLOW_START_MS,
  SLOW_START_SHARE_MIN,
  SPILLOVER_LOAD_MIN,
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
  /** Data centres, the own one first, then by distance. */
  readonly dataCentres: readonly string[];
  /**
   * Data address of the own gate, where its instance id may change.
   * @default the gate whose instance id is `nodeId`
   */
  readonly ownAddress?: string;
  /**
   * Gates of a service that are kept per data centre.
   * @default SUBSET_SIZE
   */
  readonly subsetSize?: number;
}

/** What a call asks for. */
export interface RouteRequest {
  readonly service: string;
  readonly level: number;
  /** Ids of gates that must not be chosen. */
  readonly exclude?: ReadonlySet<string>;
  /** Whether ejected gates may be chosen. */
  readonly allowEjected?: boolean;
  readonly kind?: string;
  /** Time within which the answer is worth most, in ms. */
  readonly objectiveMs?: number;
}

/** How an attempt ended, as far as routing is concerned. */
export type AttemptResult = "success" | "failure" | "refused";

/** Chooses gates and learns from attempts. */
export interface Router {
  /** Replaces the known gates of a service. */
  readonly update: (
    service: string,
    upstreams: readonly Upstream[],
    options: { readonly now: number; readonly warm?: boolean },
  ) => void;
  readonly pick: (
    demand: RouteRequest,
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
  /** Stores what a gate said about itself. */
  readonly report: (
    id: string,
    report: UpstreamReport,
    options: { readonly now: number; readonly kind?: string },
  ) => void;
  /** Marks a gate as leaving: it is not chosen again in this incarnation. */
  readonly markLeaving: (id: string, incarnation: string) => void;
  /** Treats all reported loads as old, as after a pause. */
  readonly forgetLoads: () => void;
  readonly snapshot: (now: number) => readonly UpstreamStatus[];
}

/** A gate's state, for people. */
export interface UpstreamStatus {
  readonly upstream: Upstream;
  readonly outstanding: number;
  readonly leaving: boolean;
  readonly ejected: boolean;
}

interface ReportedRunTime {
  readonly ms: number;
  readonly at: number;
}

interface GateEntry {
  upstream: Upstream;
  /** Time of a run by kind, as the gate last reported it. */
  readonly runTimes: Map<string, ReportedRunTime>;
  addedAt: number;
  outstanding: number;
  report: UpstreamReport | undefined;
  reportedAt: number;
  /** Own calls that the report counts as well. */
  ownCallsReported: number;
  leaving: boolean;
  failures: number;
  ejections: number;
  ejectedUntil: number;
}

interface Pool {
  readonly byDataCentre: ReadonlyMap<string, readonly GateEntry[]>;
  readonly size: number;
}

function createEntry(upstream: Upstream, since: number): GateEntry {
  return {
    upstream,
    runTimes: new Map(),
    addedAt: since,
    outstanding: 0,
    report: undefined,
    reportedAt: -Infinity,
    ownCallsReported: 0,
    leaving: false,
    failures: 0,
    ejections: 0,
    ejectedUntil: -Infinity,
  };
}

function relativeLoad(entry: GateEntry, now: number): number {
  const { report, outstanding } = entry;
  const age = now - entry.reportedAt;
  const weight = report ? 0.5 ** (age / LOAD_HALF_LIFE_MS) : 0;
  // Own calls that the report counts are not counted twice.
  const ofOthers = report
    ? Math.max(0, report.inFlight + report.queued - entry.ownCallsReported)
    : 0;
  const calls = weight * ofOthers + outstanding;
  const used = calls / Math.max(1, report?.limit ?? 1);
  const ramp = (now - entry.addedAt) / SLOW_START_MS;
  const share = Math.min(1, Math.max(SLOW_START_SHARE_MIN, ramp));
  return (used + 0.01) / share;
}

/**
 * Share of the objective that a run takes at a gate. Work with little time to
 * spare is drawn to fast gates by it, all other work is left to the loads.
 */
function latencyCost(
  entry: GateEntry,
  demand: RouteRequest,
  now: number,
): number {
  const { kind, objectiveMs } = demand;
  if (kind === undefined || objectiveMs === undefined) return 0;
  const usual = entry.runTimes.get(kind);
  if (usual === undefined || now - usual.at > RUN_TIME_REPORT_TTL_MS) return 0;
  return usual.ms / objectiveMs;
}

function routingCost(
  entry: GateEntry,
  demand: RouteRequest,
  now: number,
): number {
  return relativeLoad(entry, now) + latencyCost(entry, demand, now);
}

function isEligible(
  entry: GateEntry,
  demand: RouteRequest,
  now: number,
): boolean {
  if (entry.leaving) return false;
  if (demand.exclude?.has(entry.upstream.id)) return false;
  if (entry.ejectedUntil > now) return demand.allowEjected === true;
  const onTrial = entry.ejections > 0 &&
    entry.failures >= EJECT_FAILURES_MIN - 1;
  if (onTrial && entry.outstanding > 0) return demand.allowEjected === true;
  if (demand.level >= PROTECTED_LEVEL) return true;
  const fresh = now - entry.reportedAt < ACCEPT_LEVEL_TTL_MS;
  return !fresh || (entry.report?.acceptLevel ?? 0) <= demand.level;
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
    const current = known?.upstream.incarnation === upstream.incarnation;
    if (known && current) {
      known.upstream = upstream;
      return known;
    }
    const since = options.warm ? -Infinity : options.now;
    const entry = createEntry(upstream, since);
    entries.set(upstream.id, entry);
    return entry;
  }

  function isOwnGate({ id, address }: Upstream): boolean {
    const { ownAddress, nodeId } = config;
    return ownAddress === undefined ? id === nodeId : address === ownAddress;
  }

  function pickFrom(
    pool: readonly GateEntry[],
    demand: RouteRequest,
    options: { readonly now: number; readonly random: Random },
  ): GateEntry | undefined {
    const { now, random } = options;
    const open = pool.filter((entry) => isEligible(entry, demand, now));
    if (open.length <= 1) return open[0];
    const first = drawIndex(random, open.length);
    const step = 1 + drawIndex(random, open.length - 1);
    const a = open[first];
    const b = open[(first + step) % open.length];
    if (a === undefined || b === undefined) return a ?? b;
    const cost = (entry: GateEntry) => routingCost(entry, demand, now);
    const less = cost(a) <= cost(b) ? a : b;
    const own = open.find(({ upstream }) => isOwnGate(upstream));
    if (own === undefined || own === less) return less;
    // The own gate costs no connection.
    return cost(own) - OWN_GATE_MARGIN <= cost(less) ? own : less;
  }

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
    const time = EJECT_BASE_MS * 2 ** entry.ejections;
    entry.ejectedUntil = now + Math.min(EJECT_MAX_MS, time);
    entry.ejections++;
    // One more failure ejects it again: a single call tries it.
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
    pick: (demand, options) => {
      const pool = pools.get(demand.service);
      if (pool === undefined) return undefined;
      let best: GateEntry | undefined;
      let bestLoad = Infinity;
      for (const dataCentre of config.dataCentres) {
        const members = pool.byDataCentre.get(dataCentre) ?? [];
        const entry = pickFrom(members, demand, options);
        if (entry === undefined) continue;
        const load = routingCost(entry, demand, options.now);
        if (load + SPILLOVER_MARGIN < bestLoad) {
          best = entry;
          bestLoad = load;
        }
        if (bestLoad < SPILLOVER_LOAD_MIN) break;
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
      // The call that brought the report has ended there.
      entry.ownCallsReported = Math.max(0, entry.outstanding - 1);
      const { usualMs = 0 } = report;
      if (kind !== undefined && usualMs > 0) {
        entry.runTimes.set(kind, { ms: usualMs, at: now });
      }
      if (report.leaving) entry.leaving = true;
    },
    markLeaving: (id, incarnation) => {
      const entry = entries.get(id);
      if (entry?.upstream.incarnation === incarnation) entry.leaving = true;
    },
    forgetLoads: () => {
      for (const entry of entries.values()) entry.reportedAt = -Infinity;
    },
    snapshot: (now) =>
      [...entries.values()].map((entry) => ({
        upstream: entry.upstream,
        outstanding: entry.outstanding,
        leaving: entry.leaving,
        ejected: entry.ejectedUntil > now,
      })),
  };
}
