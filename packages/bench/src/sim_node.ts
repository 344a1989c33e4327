/** One node of the fleet in virtual time. */

import {
  createRetryLedger,
  createRouter,
  createSuspects,
} from "@coltsfootdeal/policy";
import { GOSSIP_MS, HEALTH_MS, TICK_MS } from "./constants.ts";
import { createSimGate, type SimGate } from "./sim_gate.ts";
import { createSimIngress, type SimIngress } from "./sim_ingress.ts";
import type { Member, World } from "./sim_types.ts";
import type { WorkloadService } from "./workload.ts";

/** Creates a node and the backend server beside it. */
export function createSimNode(
  world: World,
  service: WorkloadService,
  options: { readonly index: number },
): Member {
  const { timeline, draw, workload } = world;
  const id = `${service.name}-${options.index + 1}`;
  const places = workload.dataCentres;
  const dataCentre = places[options.index % places.length] ?? "";
  const ledger = createRetryLedger();
  const suspects = createSuspects();
  const router = createRouter({
    nodeId: id,
    dataCentres: [dataCentre, ...places.filter((p) => p !== dataCentre)],
  });
  let pausedUntil = 0;
  let leaving = false;
  let incarnation = 1;

  function asProcess(run: () => void): void {
    const wait = pausedUntil - timeline.now();
    if (wait > 0) timeline.after(wait, () => asProcess(run));
    else run();
  }

  const shared = { id, ledger, suspects, asProcess };
  const ingress: SimIngress = createSimIngress(world, {
    ...shared,
    router,
    self: () => self,
  });
  const gate: SimGate = createSimGate(world, {
    ...shared,
    service,
    handle: ingress.handle,
  });

  function tick(): void {
    timeline.after(TICK_MS, () =>
      asProcess(() => {
        gate.tick();
        tick();
      }));
  }

  function leave(): void {
    leaving = true;
    gate.admission().leave();
    const left = String(incarnation);
    for (const member of world.members()) {
      timeline.after(GOSSIP_MS, () => member.router.markLeaving(id, left));
    }
  }

  function watchHealth(): void {
    timeline.after(HEALTH_MS, () =>
      asProcess(() => {
        if (gate.backend.isLeaving() && !leaving) leave();
        watchHealth();
      }));
  }
  // Processes do not tick in step.
  timeline.after(draw.unit() * TICK_MS, tick);
  timeline.after(draw.unit() * HEALTH_MS, watchHealth);

  const self: Member = {
    id,
    service: service.name,
    dataCentre,
    backend: gate.backend,
    handle: ingress.handle,
    handleOnce: ingress.handleOnce,
    gate: gate.admission,
    router,
    suspects,
    asProcess,
    submit: gate.submit,
    abandon: gate.abandon,
    lesserStartedAt: gate.lesserStartedAt,
    lesserCancellable: gate.lesserCancellable,
    pause: (pauseMs) => {
      pausedUntil = timeline.now() + pauseMs;
      timeline.after(pauseMs, () => router.forgetLoads());
    },
    replace: () => {
      if (!gate.backend.isLeaving()) return;
      gate.backend.replace();
      leaving = false;
      incarnation++;
      gate.reset();
      world.announce(service.name);
    },
    incarnation: () => String(incarnation),
    isPaused: () => pausedUntil > timeline.now(),
    pausedAfter: (at) => pausedUntil > at,
    isLeaving: () => leaving || gate.backend.isLeaving(),
  };
  return self;
}
