/** A simulated fleet that runs the policy's code in virtual time. */

import { PROTECTED_LEVEL, type Upstream } from "@coltsfootdeal/policy";
import { LOCAL_LATENCY_MS } from "./constants.ts";
import type { RunCounts } from "./fake_backend.ts";
import type { RandomSource } from "./random.ts";
import { createSimNode } from "./sim_node.ts";
import type {
  Member,
  Observations,
  SimulatedCall,
  SimulatedNode,
  SimulationContext,
} from "./sim_types.ts";
import type { Timeline } from "./timeline.ts";
import type { Variant } from "./variants.ts";
import type { Workload } from "./workload.ts";

/** The nodes of a fleet, with controls for faults. */
export interface SimulatedFleet {
  readonly nodes: readonly SimulatedNode[];
  readonly nodesOf: (service: string) => readonly SimulatedNode[];
  readonly observations: Observations;
  /** Sets the factor on the service time of a service. */
  readonly setServiceTimeFactor: (service: string, factor: number) => void;
  /** Starts or ends a partition between all data centres. */
  readonly setPartitioned: (partitioned: boolean) => void;
}

/** What a fleet is built from. */
export interface SimulatedFleetConfig {
  readonly workload: Workload;
  readonly variant: Variant;
  readonly timeline: Timeline;
  readonly rng: RandomSource;
  readonly runCounts: RunCounts;
}

/** Creates a fleet of idle nodes that know all instances. */
export function createSimulatedFleet(
  config: SimulatedFleetConfig,
): SimulatedFleet {
  const { workload, timeline } = config;
  const serviceTimeFactors = new Map<string, number>();
  const members: Member[] = [];
  const byId = new Map<string, Member>();
  const observations: Observations = { rankInversions: 0, attempts: 0 };
  let partitioned = false;

  function latency(from: Member, to: Member): number {
    return from.dataCentre === to.dataCentre
      ? LOCAL_LATENCY_MS
      : workload.remoteLatencyMs;
  }

  function isPartitioned(from: Member, to: Member): boolean {
    return partitioned && from.dataCentre !== to.dataCentre;
  }

  /**
   * Whether a paused node of the called service may have held the call until
   * it was too late to run it elsewhere. Half the mean is the shortest service
   * time.
   */
  function wasDelayedByPause(call: SimulatedCall, arrivedAt: number): boolean {
    const { service } = call.tree;
    const calledService = workload.services.find(({ name }) =>
      name === service
    );
    const shortestMs = (calledService?.serviceMs ?? 0) / 2;
    if (call.deadlineAt - timeline.now() >= shortestMs) return false;
    return members.some((member) =>
      member.service === service && member.wasPausedAfter(arrivedAt)
    );
  }

  /**
   * Counts the refusal of a protected call as a rank inversion if some gate of
   * the service was reachable since the call arrived, and either still runs
   * unprotected work that it could cancel or has started such work since.
   */
  function countRankInversion(
    origin: Member,
    call: SimulatedCall,
    arrivedAt: number,
  ): void {
    // A process that was paused may refuse the call late, after its deadline,
    // when nobody waits for the answer any more.
    if (timeline.now() >= call.deadlineAt) return;
    const { service } = call.tree;
    if (wasDelayedByPause(call, arrivedAt)) return;
    // Work started within a round trip may precede the attempt at that gate.
    const roundTripMs = 2 * workload.remoteLatencyMs;
    const isInversion = members.some((member) =>
      member.service === service && !member.wasPausedAfter(arrivedAt) &&
      // A backend server that was down when the call arrived was unreachable.
      !member.backend.isDown() && member.backend.upSince() <= arrivedAt &&
      !member.isLeaving() && !isPartitioned(origin, member) &&
      (member.hasCancellableBelow(PROTECTED_LEVEL) ||
        member.lastStartBelow(PROTECTED_LEVEL) > arrivedAt + roundTripMs)
    );
    if (isInversion) observations.rankInversions++;
  }

  /** Updates the instances of a service in all routers. */
  function announceInstances(service: string): void {
    const upstreams: Upstream[] = members
      .filter((member) => member.service === service)
      .map(({ id, dataCentre, incarnation }) => ({
        id,
        service,
        dataCentre,
        address: id,
        incarnation: incarnation(),
      }));
    // The gates of the initial fleet skip the slow start.
    const options = { now: timeline.now(), warm: timeline.now() === 0 };
    for (const { router } of members) {
      router.update(service, upstreams, options);
    }
  }

  const simulation: SimulationContext = {
    ...config,
    observations,
    members: () => members,
    find: (id) => byId.get(id),
    latency,
    isPartitioned,
    serviceTimeFactor: (service) => serviceTimeFactors.get(service) ?? 1,
    announceInstances,
    countRankInversion,
  };
  for (const service of workload.services) {
    for (let index = 0; index < service.upstreams; index++) {
      const member = createSimNode(simulation, service, { index });
      members.push(member);
      byId.set(member.id, member);
    }
  }
  for (const { name } of workload.services) announceInstances(name);

  return {
    nodes: members,
    nodesOf: (service) => members.filter((m) => m.service === service),
    observations,
    setServiceTimeFactor: (service, factor) =>
      serviceTimeFactors.set(service, factor),
    setPartitioned: (isActive) => {
      partitioned = isActive;
    },
  };
}
