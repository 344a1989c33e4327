/**
 * Measures what the bundled platform program costs: processor time for each
 * request, start and memory, as it is deployed, on loopback with stand-ins and
 * a fixed load. `--beside FILE` measures another build in the same way.
 */

import { readFile } from "node:fs/promises";
import { Agent, request } from "node:http";
import process from "node:process";
import { parseArgs } from "node:util";
import { MESH_HOST } from "@coltsfootdeal/standin";
import {
  DEMO_ROUTES,
  type PlatformFleet,
  type PlatformFleetOptions,
  type PlatformMember,
  startPlatformFleet,
} from "./platform_fleet.ts";

/** Load time that is not measured, in s: code is still being compiled. */
const WARM_UP_S = 3;
/** Interval at which a batch of requests is sent. */
const BATCH_MS = 20;
const DEADLINE_MS = 2_000;
/** Clock ticks per second of the times in /proc. */
const TICKS_PER_S = 100;

/** Cost of one build under the load. */
interface Cost {
  readonly program: string;
  readonly nodes: number;
  readonly requestsPerS: number;
  readonly answeredShare: number;
  /** Runs of backend servers in the measured time, those of nested calls too. */
  readonly runs: number;
  /** Processor time of all nodes for one run, in ms. */
  readonly cpuPerRunMs: number;
  /** Processor time of a node until it was ready, in ms; mean of all. */
  readonly startCpuMs: number;
  /** Resident memory of a node after the load, in MB; mean of all. */
  readonly residentMb: number;
}

/** User and system time of a process so far, in ms. */
async function readCpuMs(pid: number): Promise<number> {
  const stat = await readFile(`/proc/${pid}/stat`, "utf8");
  // The name, in brackets, may contain spaces.
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  return (Number(fields[11]) + Number(fields[12])) * 1_000 / TICKS_PER_S;
}

async function readResidentMb(pid: number): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1_024;
}

async function sumOverNodes(
  fleet: PlatformFleet,
  read: (pid: number) => Promise<number>,
): Promise<number> {
  const values = await Promise.all(
    fleet.members.map(({ child }) => read(child().pid ?? 0)),
  );
  return values.reduce((sum, value) => sum + value, 0);
}

function sendRequest(
  { callers }: PlatformMember,
  path: string,
  options: { readonly agent: Agent; readonly id: string },
): Promise<boolean> {
  return new Promise((resolve) => {
    const outgoing = request({
      ...callers,
      path,
      agent: options.agent,
      headers: {
        host: MESH_HOST,
        "x-request-id": options.id,
        "x-request-deadline": String(DEADLINE_MS),
      },
    }, (response) => {
      response.resume();
      response.once("end", () => resolve(response.statusCode === 200));
    });
    outgoing.once("error", () => resolve(false));
    outgoing.end();
  });
}

/** Sends requests to the nodes in turn; resolves with the share answered. */
async function sendLoad(
  fleet: PlatformFleet,
  options: { readonly requestsPerS: number; readonly seconds: number },
): Promise<number> {
  const agent = new Agent({ keepAlive: true, maxSockets: 32 });
  const requests: Promise<boolean>[] = [];
  const total = options.requestsPerS * options.seconds;
  const startedAt = performance.now();
  while (requests.length < total) {
    const elapsedS = (performance.now() - startedAt) / 1_000;
    const due = Math.min(total, elapsedS * options.requestsPerS);
    while (requests.length < due) {
      const index = requests.length;
      const member = fleet.members[index % fleet.members.length];
      const route = DEMO_ROUTES[index % DEMO_ROUTES.length];
      if (member === undefined || route === undefined) break;
      const id = `cost-${Math.floor(startedAt)}-${index}`;
      const path = `/${route.name}/${index}`;
      requests.push(sendRequest(member, path, { agent, id }));
    }
    await new Promise((resolve) => setTimeout(resolve, BATCH_MS));
  }
  const answered = await Promise.all(requests);
  agent.destroy();
  return answered.filter(Boolean).length / total;
}

function countRuns(fleet: PlatformFleet): number {
  return fleet.members.reduce(
    (sum, { backend }) => sum + backend.runs().length,
    0,
  );
}

async function measureCost(
  load: { readonly requestsPerS: number; readonly seconds: number },
  options: PlatformFleetOptions,
): Promise<Cost> {
  const fleet = await startPlatformFleet(options);
  try {
    const nodes = fleet.members.length;
    const startCpuMs = await sumOverNodes(fleet, readCpuMs) / nodes;
    await sendLoad(fleet, { ...load, seconds: WARM_UP_S });
    const runsBefore = countRuns(fleet);
    const cpuBefore = await sumOverNodes(fleet, readCpuMs);
    const answeredShare = await sendLoad(fleet, load);
    const cpuMs = await sumOverNodes(fleet, readCpuMs) - cpuBefore;
    const runs = countRuns(fleet) - runsBefore;
    return {
      program: options.program ?? "target",
      nodes,
      requestsPerS: load.requestsPerS,
      answeredShare,
      runs,
      cpuPerRunMs: Number((cpuMs / runs).toFixed(3)),
      startCpuMs: Math.round(startCpuMs),
      residentMb: Number(
        (await sumOverNodes(fleet, readResidentMb) / nodes).toFixed(1),
      ),
    };
  } finally {
    await fleet.close();
  }
}

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: {
      rate: { type: "string", default: "400" },
      seconds: { type: "string", default: "8" },
      "per-service": { type: "string", default: "2" },
      beside: { type: "string", multiple: true, default: [] },
      profile: { type: "string" },
    },
  });
  const load = {
    requestsPerS: Number(values.rate),
    seconds: Number(values.seconds),
  };
  const perService = Number(values["per-service"]);
  const profileFolder = values.profile === undefined
    ? {}
    : { profileFolder: values.profile };
  for (const program of [undefined, ...values.beside]) {
    const cost = await measureCost(load, {
      perService,
      ...(program === undefined ? profileFolder : { program }),
    });
    process.stdout.write(`${JSON.stringify(cost)}\n`);
  }
}

await main();
