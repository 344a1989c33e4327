/**
 * A small deployment on loopback addresses: the deployed program, one process
 * for each machine, with the command of the deploy file. The platform's store
 * is the project's stand-in; clients and servers are in this folder.
 */

import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { appendFileSync, readFileSync, writeFileSync } from "node:fs";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import {
  findMeshPorts,
  formatMeshSettings,
  type KeyValueStore,
  type MeshPorts,
  startKeyValueStore,
} from "@coltsfootdeal/standin";
import { startUpstream, type Upstream } from "./upstream.ts";

/** Host name of all routes. */
export const HOST = "app.example";
/** Time within which a started node must become ready, in ms. */
const READY_TIMEOUT_MS = 15_000;
/** `grace_period_s` of the small sites. */
export const GRACE_S = 6;
/** `heartbeat_interval_s` of the small sites. */
const HEARTBEAT_MS = 1_500;
const ZONES = ["kochi-a", "kochi-b"] as const;

/** Exit statuses of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const COULD_NOT_RUN = 2;

/** Whether the disruption takes place; `TROUBLE=0` leaves it out. */
export const hasTrouble = process.env["TROUBLE"] !== "0";

/** Writes what was sent, answered and run to `record.txt` of the case. */
export interface Recorder {
  readonly write: (line: string) => void;
}

/** Starts an empty `record.txt` in the folder that `RECORD` names. */
export function startRecord(): Recorder {
  const path = process.env["RECORD"] ?? "record.txt";
  const startedAt = performance.now();
  writeFileSync(path, "");
  return {
    write: (line) => {
      const at = ((performance.now() - startedAt) / 1_000).toFixed(3);
      appendFileSync(path, `${at} ${line}\n`);
    },
  };
}

/** A route of the configuration; its prefix is `/NAME/`. */
export interface RouteSpec {
  readonly service: string;
  readonly idempotent: boolean;
  readonly timeoutS: number;
  readonly maxAttempts?: number;
}

/** A machine: a node as a process, and the server beside it. */
export interface Machine {
  readonly name: string;
  readonly ip: string;
  readonly zone: string;
  readonly service: string;
  readonly upstream: Upstream;
  /** Where clients of this machine send their requests. */
  readonly outbound: { readonly host: string; readonly port: number };
  /** Port of the server. */
  readonly port: number;
  readonly child: () => ChildProcess;
  /** Starts the program; resolves once it is ready. */
  readonly start: () => Promise<void>;
  /** Writes the server's entry, with the time for which it is still slow. */
  readonly register: (coldS: number) => void;
}

/** A running deployment. */
export interface Fleet {
  readonly store: KeyValueStore;
  readonly machines: readonly Machine[];
  readonly publish: (
    version: number,
    routes: Readonly<Record<string, RouteSpec>>,
  ) => void;
  readonly close: () => Promise<void>;
}

/** The words of `run` in the deploy file. */
function readCommand(): readonly string[] {
  const text = readFileSync("deploy/system.toml", "utf8");
  const line = /^run = "([^"]+)"$/m.exec(text)?.[1];
  if (line === undefined) throw new Error("deploy/system.toml: no run");
  return line.split(" ");
}

function formatConfiguration(
  version: number,
  routes: Readonly<Record<string, RouteSpec>>,
  services: Iterable<string>,
): string {
  return JSON.stringify({
    version: version.toString(16).padStart(8, "0"),
    routes: Object.fromEntries(
      Object.entries(routes).map(([name, route]) => [name, {
        host: HOST,
        prefix: `/${name}/`,
        type: route.idempotent ? "idempotent" : "non_idempotent",
        timeout_s: route.timeoutS,
        target_latency_s: 2,
        priority: 1,
        max_attempts: route.maxAttempts ?? 2,
        service: route.service,
      }]),
    ),
    services: Object.fromEntries(
      [...new Set(services)].map((name) => [name, {
        health_check_path: "/health",
        max_connections: 430,
        protocol: "h1",
        tls: false,
      }]),
    ),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 67_108_864,
      header_timeout_s: 3,
      idle_timeout_s: 15,
    },
  });
}

/** Formats an entry under `servers/`. */
export function formatEntry(entry: {
  readonly address: string;
  readonly service: string;
  readonly zone: string;
  readonly bornAt: number;
  readonly sequence: number;
  readonly coldS: number;
}): string {
  const { address, service, zone, bornAt, sequence, coldS } = entry;
  return JSON.stringify({
    address,
    born: bornAt,
    information: { service, version: "v1", zone, slots: 55 },
    status: { state: "ready", sequence, cold_remaining_s: coldS },
  });
}

function fetchReadiness(host: string, port: number): Promise<number> {
  return new Promise((resolve) => {
    const outgoing = request({ host, port, path: "/readiness" }, (response) => {
      response.resume();
      resolve(response.statusCode ?? 0);
    });
    outgoing.once("error", () => resolve(0));
    outgoing.end();
  });
}

/** Waits for a time in ms. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

async function startMachine(
  index: number,
  service: string,
  { ports, store, folder, command, logFolder }: {
    readonly ports: MeshPorts;
    readonly store: KeyValueStore;
    readonly folder: string;
    readonly command: readonly string[];
    readonly logFolder: string | undefined;
  },
): Promise<Machine> {
  const ip = `127.${20 + (process.pid % 200)}.7.${index + 1}`;
  const name = `sidecar-${index + 1}`;
  const zone = ZONES[index % ZONES.length] ?? ZONES[0];
  const id = `i-${index + 1}`;
  const upstream = await startUpstream({
    id,
    host: ip,
    port: ports.application,
  });
  const bornAt = Date.now();
  let sequence = 0;
  const path = join(folder, `${name}.toml`);
  await writeFile(
    path,
    formatMeshSettings({
      name,
      ip,
      service,
      zone,
      zones: ZONES,
      store: store.address,
      ports,
      graceS: GRACE_S,
    }),
  );
  let child: ChildProcess;

  async function start(): Promise<void> {
    const startedAt = performance.now();
    const [program = "node", ...args] = command;
    child = spawn(program, args, {
      env: {
        PATH: process.env["PATH"] ?? "",
        HOME: folder,
        COLTSFOOTDEAL_SETTINGS: path,
      },
      stdio: ["ignore", logFolder === undefined ? "ignore" : "pipe", "pipe"],
    });
    const started = child;
    children.add(started);
    started.once("exit", () => children.delete(started));
    const keep = (bytes: Uint8Array) => {
      if (logFolder === undefined) return;
      appendFileSync(join(logFolder, `${name}.log`), bytes);
    };
    child.stdout?.on("data", keep);
    child.stderr?.on("data", keep);
    while (await fetchReadiness(ip, ports.readiness) !== 200) {
      if (performance.now() - startedAt > READY_TIMEOUT_MS) {
        throw new Error(`${name}: not ready in time`);
      }
      await sleep(20);
    }
  }

  return {
    name,
    ip,
    zone,
    service,
    upstream,
    outbound: { host: ip, port: ports.outbound },
    port: ports.application,
    child: () => child,
    start,
    register: (coldS) => {
      sequence++;
      store.put(
        `servers/${id}`,
        formatEntry({
          address: `${ip}:${ports.application}`,
          service,
          zone,
          bornAt,
          sequence,
          coldS,
        }),
      );
    },
  };
}

/** Starts one machine for each entry of `services`. */
export async function startFleet(
  services: readonly string[],
  routes: Readonly<Record<string, RouteSpec>>,
  options: {
    /** Called before the nodes start. */
    readonly beforeStart?: (
      fleet: Pick<Fleet, "store" | "machines">,
    ) => void;
  } = {},
): Promise<Fleet> {
  const command = readCommand();
  const store = await startKeyValueStore();
  const folder = await mkdtemp(join(tmpdir(), "review-"));
  const ports = await findMeshPorts();
  const logFolder = process.env["LOG_FOLDER"];
  const publish: Fleet["publish"] = (version, next) => {
    store.put("op/config", formatConfiguration(version, next, services));
  };
  publish(1, routes);
  const machines = await Promise.all(
    services.map((service, index) =>
      startMachine(index, service, {
        ports,
        store,
        folder,
        command,
        logFolder,
      })
    ),
  );
  const register = (coldS: number) => {
    for (const machine of machines) machine.register(coldS);
  };
  register(2 * HEARTBEAT_MS / 1_000);
  options.beforeStart?.({ store, machines });

  async function close(): Promise<void> {
    for (const { child, upstream } of machines) {
      const running = child();
      if (running?.exitCode === null && running.signalCode === null) {
        const exited = once(running, "exit");
        running.kill("SIGKILL");
        await exited;
      }
      await upstream.close();
    }
    await store.close();
    await rm(folder, { recursive: true, force: true });
  }

  try {
    await Promise.all(machines.map((machine) => machine.start()));
    // An entry changes while its server is slow after its start.
    await sleep(HEARTBEAT_MS);
    register(HEARTBEAT_MS / 1_000);
    await sleep(HEARTBEAT_MS);
    register(0);
    await sleep(HEARTBEAT_MS);
  } catch (error) {
    await close();
    throw error;
  }
  return { store, machines, publish, close };
}

/** Time after which a case is ended, in ms. */
const CASE_TIMEOUT_MS = 115_000;

/** Processes that this case started and that have not ended yet. */
const children = new Set<ChildProcess>();

function killChildren(): void {
  for (const child of children) child.kill("SIGKILL");
}

/** Ends all processes of the case when it is ended from outside or hangs. */
function endOnSignals(record: Recorder): void {
  function end(reason: string): never {
    record.write(`could not run: ${reason}`);
    killChildren();
    process.exit(COULD_NOT_RUN);
  }
  for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"] as const) {
    process.once(signal, () => end(signal));
  }
  setTimeout(() => end("took too long"), CASE_TIMEOUT_MS).unref();
  process.once("exit", killChildren);
}

/**
 * Runs a case and ends the process with its status. `run` resolves with the
 * lines that tell how the rule was broken.
 */
export async function runCase(
  run: (record: Recorder) => Promise<readonly string[]>,
): Promise<never> {
  const record = startRecord();
  record.write(`trouble ${hasTrouble ? "on" : "off"}`);
  endOnSignals(record);
  try {
    const broken = await run(record);
    for (const line of broken) record.write(`BROKEN ${line}`);
    record.write(broken.length === 0 ? "held" : `broken ${broken.length}`);
    for (const line of broken) process.stdout.write(`${line}\n`);
    process.exit(broken.length === 0 ? HELD : BROKEN);
  } catch (error) {
    record.write(`could not run: ${String(error)}`);
    process.stdout.write(`could not run: ${String(error)}\n`);
    process.exit(COULD_NOT_RUN);
  }
}
