/**
 * Runs one soak: real nodes as processes, a plan of faults from outside them,
 * and callers that go on all the while. Collects what callers and backend
 * servers see.
 */

import { once } from "node:events";
import {
  formatMeshInstanceEntry,
  type KeyValueBackup,
} from "@coltsfootdeal/standin";
import {
  DEMO_ROUTES,
  type DemoRoute,
  type PlatformFleet,
  type PlatformMember,
  type SilentConnections,
  startPlatformFleet,
} from "../platform_fleet.ts";
import { type Callers, createCallers } from "./callers.ts";
import { checkOutcomes, checkTimes } from "./checks.ts";
import type {
  CallerRecord,
  LeavingSpan,
  NodeDisturbance,
  Observations,
  Publication,
  RateSpan,
  Span,
} from "./observations.ts";
import {
  createSoakPlan,
  type SoakAction,
  type SoakEvent,
  type SoakScale,
} from "./plan.ts";

/** Interval of the whole fleet's requests on each route, in ms. */
const REQUEST_INTERVAL_MS = 10;
/**
 * Interval of the whole fleet's requests that tell which configuration is in
 * force, in ms.
 */
const PROBE_INTERVAL_MS = 40;
/** Interval of the copies of the store's state. */
const BACKUP_INTERVAL_MS = 500;
/** Time after the last event in which nothing is disturbed. */
const CALM_MS = 9_000;
/** Interval in which a backend server writes its entry, in ms. */
const HEARTBEAT_MS = 1_500;
/** Grace period of a stop, after which a node has to be gone. */
const GRACE_MS = 3_000;

/** Options of {@link runSoak}. */
export interface SoakOptions {
  readonly seed: number;
  /** Nodes of each of the three services. */
  readonly perService: number;
  readonly lengthMs: number;
  /** Mean time between two events, in ms. */
  readonly gapMs: number;
  /** Program of a node; the deployed one by default. */
  readonly program?: string;
  /** Folder for the logs of the nodes; they are discarded by default. */
  readonly logFolder?: string;
}

/** Result of a soak. */
export interface SoakReport {
  readonly seed: number;
  readonly events: readonly SoakEvent[];
  /** Time from which the events' times count, in ms. */
  readonly startedAt: number;
  readonly requests: number;
  readonly answered: number;
  readonly runs: number;
  /** A line for each broken promise that does not depend on speed. */
  readonly broken: readonly string[];
  /** A line for each broken promise that bounds a time. */
  readonly late: readonly string[];
}

/** A machine of the soak with the state that actions change. */
interface Machine {
  readonly member: PlatformMember;
  readonly index: number;
  readonly callers: Callers;
  backendId: string;
  born: number;
  state: "ready" | "draining" | "gone";
  /** Actions on its node or its backend server that have not ended. */
  isNodeBusy: boolean;
  isBackendBusy: boolean;
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function routeOfVersion(version: number): DemoRoute {
  return {
    name: `v${version}`,
    service: "seals",
    idempotent: true,
    priority: 1,
  };
}

/** Runs a soak of a started fleet. */
async function soakFleet(
  fleet: PlatformFleet,
  { seed, lengthMs, gapMs }: SoakOptions,
): Promise<SoakReport> {
  const { store } = fleet;
  const requests: CallerRecord[] = [];
  const disturbances: NodeDisturbance[] = [];
  const storeOutages: Span[] = [];
  const silences: Span[] = [];
  const rates: RateSpan[] = [];
  const leavings: LeavingSpan[] = [];
  const publications: Publication[] = [];
  const unexpectedEnds: string[] = [];
  const lateEnds: string[] = [];
  const backups: { readonly at: number; readonly state: KeyValueBackup }[] = [];
  let isStoreBusy = false;
  let version = 1;

  const machines: readonly Machine[] = fleet.members.map((member, index) => ({
    member,
    index,
    callers: createCallers(member, index, (request) => requests.push(request)),
    backendId: member.id,
    born: 1_700_000_000_000,
    state: "ready",
    isNodeBusy: false,
    isBackendBusy: false,
  }));

  function watchEnd({ member, index }: Machine): void {
    const child = member.child();
    child.once("exit", (code, signal) => {
      const isExpected = disturbances.some((other) =>
        other.member === index && other.kind !== "pause" &&
        other.from <= performance.now() && other.to === Infinity
      );
      if (isExpected) return;
      unexpectedEnds.push(`node ${member.id} ended with ${code ?? signal}`);
    });
  }

  /** Records a disturbance that lasts until the returned function is called. */
  function disturb(member: number, kind: NodeDisturbance["kind"]): () => void {
    const from = performance.now();
    const entry = { member, kind, from, to: Infinity };
    disturbances.push(entry);
    return () => {
      entry.to = performance.now();
    };
  }

  function publish(): void {
    version++;
    fleet.publish(version, [...DEMO_ROUTES, routeOfVersion(version)]);
    publications.push({ version, at: performance.now() });
  }

  function register({ member, state, backendId, born }: Machine): void {
    if (state === "gone") store.remove(`servers/${backendId}`);
    else member.register(state, { id: backendId, born });
  }

  async function restart(
    machine: Machine,
    { signal, downMs }: Extract<SoakAction, { readonly kind: "restart" }>,
  ): Promise<void> {
    const { member, index } = machine;
    const end = disturb(index, signal === "SIGTERM" ? "stop" : "kill");
    const child = member.child();
    const exited = once(child, "exit");
    child.kill(signal);
    const isGone = await Promise.race([
      exited.then(() => true),
      sleep(GRACE_MS).then(() => false),
    ]);
    if (!isGone) {
      lateEnds.push(`node ${member.id} outlived its grace period`);
      child.kill("SIGKILL");
      await exited;
    }
    end();
    const endDown = disturb(index, "kill");
    await sleep(downMs);
    await member.start();
    endDown();
    watchEnd(machine);
  }

  async function pause({ member, index }: Machine, ms: number): Promise<void> {
    const end = disturb(index, "pause");
    const child = member.child();
    child.kill("SIGSTOP");
    await sleep(ms);
    child.kill("SIGCONT");
    end();
  }

  async function cap(
    { member, backendId }: Machine,
    { perS, ms }: Extract<SoakAction, { readonly kind: "cap" }>,
  ): Promise<void> {
    member.backend.setStatement({ limit: perS.toFixed(2) });
    const from = performance.now();
    await sleep(ms);
    rates.push({ backend: backendId, perS, from, to: performance.now() });
    member.backend.setStatement({});
  }

  async function leave(
    machine: Machine,
    { how, ms }: Extract<SoakAction, { readonly kind: "leave" }>,
  ): Promise<void> {
    const { member, backendId } = machine;
    const from = performance.now();
    member.backend.setStatement({ leaving: true });
    if (how === "drain") machine.state = "draining";
    if (how === "remove") machine.state = "gone";
    if (how !== "say") register(machine);
    await sleep(ms);
    const isListed = how !== "say";
    leavings.push({
      backend: backendId,
      from,
      to: performance.now(),
      isListed,
    });
    machine.state = "gone";
    register(machine);
    machine.born = Date.now();
    machine.backendId = `${member.id}x${machine.born}`;
    machine.state = "ready";
    member.backend.setId(machine.backendId);
    member.backend.setStatement({});
    register(machine);
  }

  function setStore(
    members: readonly number[],
    mode: Parameters<PlatformMember["storeEndpoint"]["setMode"]>[0],
  ): void {
    for (const index of members) {
      fleet.members[index]?.storeEndpoint.setMode(mode);
    }
  }

  async function withStoreOutage(work: () => Promise<void>): Promise<void> {
    const outage = { from: performance.now(), to: Infinity };
    storeOutages.push(outage);
    await work();
    setStore(machines.map(({ index }) => index), { kind: "up" });
    outage.to = performance.now();
  }

  async function silence(connections: SilentConnections): Promise<void> {
    const from = performance.now();
    const running = machines.filter(({ isNodeBusy }) => !isNodeBusy);
    await Promise.all(
      running.map(({ member }) => member.silence(connections)),
    );
    silences.push({ from, to: performance.now() });
  }

  /** Lists something on a machine that is not its backend server. */
  async function listBeside(
    machine: Machine,
    { what, order, ms }: Extract<SoakAction, { readonly kind: "entry" }>,
  ): Promise<void> {
    const { member, backendId, born } = machine;
    if (what === "unreadable") {
      if (machine.state !== "ready") return;
      store.put(`servers/${backendId}`, JSON.stringify({ status: what }));
      // As a backend server does that still writes its entry.
      await sleep(Math.min(ms, HEARTBEAT_MS));
      return register(machine);
    }
    const id = `${order === "before" ? "a" : "z"}-${what}-${backendId}`;
    const { ip, port } = member.backendAddress;
    const other = DEMO_ROUTES.find(({ service }) => service !== member.service);
    store.put(
      `servers/${id}`,
      formatMeshInstanceEntry({
        address: `${ip}:${what === "application" ? port + 1 : port}`,
        service: {
          application: "node-metrics",
          earlier: member.service,
          successor: other?.service ?? member.service,
        }[what],
        zone: member.zone,
        slots: 1,
        state: what === "earlier" ? "draining" : "ready",
        born: what === "earlier" ? born - 1 : Date.now(),
      }),
    );
    await sleep(ms);
    store.remove(`servers/${id}`);
  }

  async function restore(
    { ageMs, ms, rewriteMs }: Extract<SoakAction, { readonly kind: "restore" }>,
  ): Promise<void> {
    const all = machines.map(({ index }) => index);
    const wanted = performance.now() - ageMs;
    setStore(all, { kind: "refuse", how: "reset" });
    await sleep(ms);
    const backup = backups.findLast(({ at }) => at <= wanted) ?? backups[0];
    if (backup === undefined) return;
    store.restore(backup.state);
    backups.splice(0);
    setStore(all, { kind: "up" });
    await sleep(rewriteMs);
    fleet.publish(version, [...DEMO_ROUTES, routeOfVersion(version)]);
    for (const machine of machines) register(machine);
  }

  async function restartUnlessBusy(
    machine: Machine,
    action: Extract<SoakAction, { readonly kind: "restart" }>,
  ): Promise<void> {
    if (machine.isNodeBusy) return;
    machine.isNodeBusy = true;
    await restart(machine, action);
    machine.isNodeBusy = false;
  }

  /** Begins an action, unless one that excludes it has not ended. */
  async function perform(action: SoakAction): Promise<void> {
    switch (action.kind) {
      case "restart": {
        const machine = machines[action.member];
        if (machine !== undefined) await restartUnlessBusy(machine, action);
        return;
      }
      case "power_loss": {
        const { downMs } = action;
        await Promise.all(machines.map((machine) =>
          restartUnlessBusy(machine, {
            kind: "restart",
            member: machine.index,
            signal: "SIGKILL",
            downMs,
          })
        ));
        return;
      }
      case "pause": {
        const machine = machines[action.member];
        if (machine === undefined || machine.isNodeBusy) return;
        machine.isNodeBusy = true;
        await pause(machine, action.ms);
        machine.isNodeBusy = false;
        return;
      }
      case "entry": {
        const machine = machines[action.member];
        if (machine === undefined || machine.isBackendBusy) return;
        machine.isBackendBusy = true;
        await listBeside(machine, action);
        machine.isBackendBusy = false;
        return;
      }
      case "cap":
      case "leave": {
        const machine = machines[action.member];
        if (machine === undefined || machine.isBackendBusy) return;
        machine.isBackendBusy = true;
        if (action.kind === "cap") await cap(machine, action);
        else await leave(machine, action);
        machine.isBackendBusy = false;
        return;
      }
      case "store":
      case "restore": {
        if (isStoreBusy) return;
        isStoreBusy = true;
        await withStoreOutage(async () => {
          if (action.kind === "restore") return await restore(action);
          setStore(
            action.members,
            action.how === "silent"
              ? { kind: "silent" }
              : { kind: "refuse", how: action.how },
          );
          await sleep(action.ms);
        });
        isStoreBusy = false;
        return;
      }
      case "silence":
        return await silence(action.connections);
      case "publish":
        return publish();
      case "fault":
        machines[action.member]?.member.backend.injectFault(
          action.fault,
          action.count,
        );
    }
  }

  const scale: SoakScale = { members: machines.length, lengthMs, gapMs };
  const events = createSoakPlan(seed, scale);
  const backupTimer = setInterval(() => {
    backups.push({ at: performance.now(), state: store.backup() });
  }, BACKUP_INTERVAL_MS);
  const probeTimer = setInterval(() => {
    for (const { callers } of machines) {
      callers.send(routeOfVersion(version));
      if (version > 2) callers.send(routeOfVersion(version - 1));
    }
  }, PROBE_INTERVAL_MS * machines.length);
  for (const machine of machines) {
    watchEnd(machine);
    const intervalMs = REQUEST_INTERVAL_MS * machines.length;
    machine.callers.start(DEMO_ROUTES, intervalMs);
  }

  const startedAt = performance.now();
  const actions: Promise<void>[] = [];
  for (const { atMs, action } of events) {
    await sleep(startedAt + atMs - performance.now());
    actions.push(perform(action));
  }
  await Promise.all(actions);
  const calmFrom = performance.now();
  await sleep(CALM_MS);
  clearInterval(probeTimer);
  clearInterval(backupTimer);
  await Promise.all(machines.map(({ callers }) => callers.stop()));

  const seen: Observations = {
    requests,
    arrivals: machines.flatMap(({ member, index }) =>
      member.backend.arrivals().map((arrival) => ({
        ...arrival,
        member: index,
      }))
    ),
    runs: machines.flatMap(({ member }) =>
      member.backend.runs().map(({ requestId }) => requestId)
    ),
    disturbances,
    storeOutages,
    silences,
    rates,
    leavings,
    publications,
    unexpectedEnds,
    lateEnds,
    calmFrom,
  };
  return {
    seed,
    events,
    startedAt: Math.round(startedAt),
    requests: requests.length,
    answered: requests.filter(({ status }) => status === 200).length,
    runs: seen.runs.length,
    broken: checkOutcomes(seen),
    late: checkTimes(seen),
  };
}

/** Starts a fleet, runs a soak on it and ends the fleet. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const { perService, program, logFolder } = options;
  const fleet = await startPlatformFleet({
    perService,
    canSilence: true,
    ...(program === undefined ? {} : { program }),
    ...(logFolder === undefined ? {} : { logFolder }),
  });
  try {
    return await soakFleet(fleet, options);
  } finally {
    await fleet.close();
  }
}
