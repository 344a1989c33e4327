/** A simulated node: ingress, gate, router and the periodic checks. */

import {
  createRetryLedger,
  createRouter,
  createSuspects,
} from "@coltsfootdeal/policy";
import {
  GATE_TICK_MS,
  GOSSIP_SPREAD_MS,
  HEALTH_CHECK_PERIOD_MS,
} from "./constants.ts";
import { createSimGate, type SimGate } from "./sim_gate.ts";
import { createSimIngress, type SimIngress } from "./sim_ingress.ts";
import type { Member, SimulationContext } from "./sim_types.ts";
import type { WorkloadService } from "./workload.ts";

/** Creates a node and the backend server beside it. */
export function createSimNode(
  simulation: SimulationContext,
  service: WorkloadService,
  options: { readonly index: number },
): Member {
  const { timeline, rng, workload } = simulation;
  const id = `${service.name}-${options.index + 1}`;
  const allDataCentres = workload.dataCentres;
  const dataCentre = allDataCentres[options.index % allDataCentres.length] ??
    "";
  const ledger = createRetryLedger();
  /** Calls suspected of crashing the backend servers that run them. */
  const suspects = createSuspects();
  const router = createRouter({
    nodeId: id,
    dataCentres: [
      dataCentre,
      ...allDataCentres.filter((other) => other !== dataCentre),
    ],
  });
  let pausedUntil = 0;
  let leaving = false;
  let incarnation = 1;

  /** Runs a function, after the pause if the process is paused. */
  function deferWhilePaused(run: () => void): void {
    const waitMs = pausedUntil - timeline.now();
    if (waitMs > 0) timeline.after(waitMs, () => deferWhilePaused(run));
    else run();
  }

  const shared = { id, ledger, suspects, deferWhilePaused };
  const ingress: SimIngress = createSimIngress(simulation, {
    ...shared,
    router,
    self: () => self,
  });
  const gate: SimGate = createSimGate(simulation, {
    ...shared,
    service,
    handle: ingress.handle,
  });

  function scheduleTick(): void {
    timeline.after(GATE_TICK_MS, () =>
      deferWhilePaused(() => {
        gate.tick();
        scheduleTick();
      }));
  }

  /**
   * Makes the gate of this node refuse new work at once. After
   * `GOSSIP_SPREAD_MS`, the routers of all nodes pick other gates.
   */
  function announceLeaving(): void {
    leaving = true;
    gate.admission().leave();
    const leftIncarnation = String(incarnation);
    for (const member of simulation.members()) {
      timeline.after(
        GOSSIP_SPREAD_MS,
        () =>
          member.router.markLeaving(id, leftIncarnation, {
            now: timeline.now(),
          }),
      );
    }
  }

  function scheduleHealthCheck(): void {
    timeline.after(HEALTH_CHECK_PERIOD_MS, () =>
      deferWhilePaused(() => {
        if (gate.backend.isLeaving() && !leaving) announceLeaving();
        scheduleHealthCheck();
      }));
  }
  // A random first delay keeps the nodes from ticking at the same times.
  timeline.after(rng.uniform() * GATE_TICK_MS, scheduleTick);
  timeline.after(rng.uniform() * HEALTH_CHECK_PERIOD_MS, scheduleHealthCheck);

  const self: Member = {
    id,
    service: service.name,
    dataCentre,
    backend: gate.backend,
    handle: ingress.handle,
    handleWithTicket: ingress.handleWithTicket,
    admission: gate.admission,
    router,
    suspects,
    deferWhilePaused,
    submit: gate.submit,
    abandon: gate.abandon,
    // The next two take a priority level: work below it is less important.
    lastStartBelow: gate.lastStartBelow,
    hasCancellableBelow: gate.hasCancellableBelow,
    pause: (pauseMs) => {
      pausedUntil = timeline.now() + pauseMs;
      // Loads that were reported before the pause are out of date.
      timeline.after(pauseMs, () => router.forgetLoads());
    },
    replace: () => {
      if (!gate.backend.isLeaving()) return;
      gate.backend.replace();
      leaving = false;
      incarnation++;
      gate.reset();
      simulation.announceInstances(service.name);
    },
    incarnation: () => String(incarnation),
    isPaused: () => pausedUntil > timeline.now(),
    wasPausedAfter: (at) => pausedUntil > at,
    isLeaving: () => leaving || gate.backend.isLeaving(),
  };
  return self;
}
