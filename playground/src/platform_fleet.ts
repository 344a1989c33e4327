/**
 * Runs the bundled platform program as it is deployed, one process beside each
 * backend server, on loopback with stand-ins for the store and the backend
 * servers.
 */

import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, open, rename, rm, writeFile } from "node:fs/promises";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import {
  findMeshPorts,
  formatMeshConfiguration,
  formatMeshInstanceEntry,
  formatMeshSettings,
  type KeyValueStore,
  type KeyValueStoreEndpoint,
  MESH_HOST,
  type MeshBackend,
  type MeshPorts,
  startKeyValueStore,
  startMeshBackend,
} from "@coltsfootdeal/standin";

const PROGRAM = join(
  import.meta.dirname,
  "../../target/coltsfootdeal-platform-node.mjs",
);
/** Is loaded into the processes of a fleet with `canSilence`. */
const SILENCE_MODULE = join(import.meta.dirname, "../dist/soak/silence.js");
/** Flags that deploy/system.toml sets for the program. */
const PROGRAM_FLAGS = [
  "--max-old-space-size=140",
  "--max-semi-space-size=4",
  "--single-threaded",
];
const GRACE_PERIOD_S = 3;
const SLOTS = 8;
const SERVICE_MS = 10;
/** Time within which a started node must become ready, in ms. */
const READY_TIMEOUT_MS = 10_000;
/** The same while a whole fleet starts, for each of its nodes. */
const FLEET_READY_TIMEOUT_MS_PER_NODE = 1_000;
const ZONES = ["east", "west"] as const;

/** A route of the demo. */
export interface DemoRoute {
  readonly name: string;
  readonly service: string;
  readonly idempotent: boolean;
  /** 0 is the most important. */
  readonly priority: number;
}

/** Routes of the demo. Runs of `lookup` make nested calls to `seal`. */
export const DEMO_ROUTES: readonly DemoRoute[] = [
  { name: "lookup", service: "portal", idempotent: true, priority: 2 },
  { name: "decide", service: "committee", idempotent: false, priority: 1 },
  { name: "seal", service: "seals", idempotent: true, priority: 0 },
];

/** Connections of a node that can go silent. */
export type SilentConnections = "store" | "nodes" | "backend" | "all";

/** A process that runs a node, and the backend server beside it. */
export interface PlatformMember {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly backend: MeshBackend;
  readonly backendAddress: { readonly ip: string; readonly port: number };
  /** Where this node reaches the store. */
  readonly storeEndpoint: KeyValueStoreEndpoint;
  /** Where the node takes plain HTTP requests of callers. */
  readonly callers: { readonly host: string; readonly port: number };
  /** The current process; `start` replaces it. */
  readonly child: () => ChildProcess;
  /**
   * Starts the program. Resolves with the time until it was ready, in ms;
   * rejects if that takes too long.
   */
  readonly start: () => Promise<number>;
  /**
   * Silences the node's open connections of a kind. Has no effect unless the
   * fleet was started with `canSilence`.
   */
  readonly silence: (connections: SilentConnections) => Promise<void>;
  /** Writes the backend server's entry to the store. */
  readonly register: (
    state: "ready" | "draining",
    options?: { readonly id: string; readonly born: number },
  ) => void;
  /** Removes the entry of the backend server's first id from the store. */
  readonly unregister: () => void;
  /** Closes the file of the process's log, if there is one. */
  readonly closeLog: () => Promise<void>;
}

/** How the processes of a fleet are started. */
export interface PlatformFleetOptions {
  /** Nodes and backend servers of each service. */
  readonly perService: number;
  /**
   * Bundled program to run.
   * @default the one that `npm run build:deploy` writes
   */
  readonly program?: string;
  /**
   * Folder to which each process writes a CPU profile when it is stopped; none
   * is written by default.
   */
  readonly profileFolder?: string;
  /** Folder for the logs of each process; they are discarded by default. */
  readonly logFolder?: string;
  /**
   * Whether connections of the nodes can be silenced.
   * @default false
   */
  readonly canSilence?: boolean;
}

/** A running fleet of platform nodes. */
export interface PlatformFleet {
  readonly store: KeyValueStore;
  readonly members: readonly PlatformMember[];
  /** Writes a configuration with these routes to the store. */
  readonly publish: (version: number, routes: readonly DemoRoute[]) => void;
  /** Folder for files of this fleet, which is removed at its end. */
  readonly folder: string;
  readonly close: () => Promise<void>;
}

/** Status of a node's readiness check; 0 if it cannot be reached. */
function fetchReadinessStatus(host: string, port: number): Promise<number> {
  return new Promise((resolve) => {
    const outgoing = request({ host, port, path: "/readiness" }, (response) => {
      response.resume();
      resolve(response.statusCode ?? 0);
    });
    outgoing.once("error", () => resolve(0));
    outgoing.end();
  });
}

function formatDemoConfiguration(
  version: number,
  routes: readonly DemoRoute[],
) {
  return formatMeshConfiguration(version, {
    services: routes.map(({ service }) => service),
    routes: Object.fromEntries(
      routes.map(({ name, service, idempotent, priority }) => [name, {
        type: idempotent ? "idempotent" : "non_idempotent",
        priority,
        service,
      }]),
    ),
  });
}

async function startMember(
  { index, service }: { readonly index: number; readonly service: string },
  { ports, store, folder, command, logFolder, readyMs, canSilence }: {
    readonly ports: MeshPorts;
    readonly store: KeyValueStore;
    readonly folder: string;
    readonly command: readonly string[];
    readonly logFolder: string | undefined;
    /** Time within which the first start must have ended, in ms. */
    readonly readyMs: number;
    readonly canSilence: boolean;
  },
): Promise<PlatformMember> {
  const ip = `127.${20 + (process.pid % 200)}.9.${index + 1}`;
  const id = `i-${index + 1}`;
  const zone = ZONES[index % ZONES.length] ?? ZONES[0];
  const backend = await startMeshBackend({
    id,
    host: ip,
    port: ports.application,
    slots: SLOTS,
    serviceMs: SERVICE_MS,
    node: `${ip}:${ports.outbound}`,
    calls: { lookup: [{ host: MESH_HOST, path: "/seal/check" }] },
  });
  const storeEndpoint = await store.addEndpoint();
  const path = join(folder, `${id}.toml`);
  const silencePath = join(folder, `${id}.ports.json`);
  const settings = formatMeshSettings({
    name: `node-${id}`,
    ip,
    service,
    zone,
    zones: ZONES,
    store: storeEndpoint.address,
    ports,
    graceS: GRACE_PERIOD_S,
  });
  await writeFile(path, settings);
  const output = logFolder === undefined
    ? undefined
    : await open(join(logFolder, `${id}.log`), "a");
  let child: ChildProcess;
  let silences = 0;

  async function start(timeoutMs = READY_TIMEOUT_MS): Promise<number> {
    const startedAt = performance.now();
    child = spawn(process.execPath, command, {
      env: {
        COLTSFOOTDEAL_SETTINGS: path,
        SOAK_SILENCE_PORTS: silencePath,
      },
      stdio: ["ignore", output?.fd ?? "ignore", output?.fd ?? "inherit"],
    });
    while (await fetchReadinessStatus(ip, ports.readiness) !== 200) {
      if (performance.now() - startedAt > timeoutMs) {
        throw new Error(
          `node ${id}: expected to be ready within ${timeoutMs} ms`,
        );
      }
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    return performance.now() - startedAt;
  }

  function portsOf(connections: SilentConnections): readonly number[] {
    const storePort = Number(storeEndpoint.address.split(":").at(-1));
    switch (connections) {
      case "store":
        return [storePort];
      case "nodes":
        return [ports.inbound, ports.control];
      case "backend":
        return [ports.application];
      case "all":
        return [storePort, ports.inbound, ports.control, ports.application];
    }
  }

  const register: PlatformMember["register"] = (state, options) => {
    const { id: entryId, ...rest } = options ?? { id };
    const address = `${ip}:${ports.application}`;
    const entry = { address, service, zone, slots: SLOTS, state, ...rest };
    store.put(`servers/${entryId}`, formatMeshInstanceEntry(entry));
  };

  register("ready");
  await start(readyMs);
  return {
    id,
    service,
    zone,
    backend,
    backendAddress: { ip, port: ports.application },
    storeEndpoint,
    callers: { host: ip, port: ports.outbound },
    child: () => child,
    start: () => start(),
    silence: async (connections) => {
      if (!canSilence) return;
      // A process that starts meanwhile does not handle the signal yet.
      const running = child;
      // The process may be reading the file because of an earlier signal.
      const draftPath = `${silencePath}.${++silences}`;
      await writeFile(draftPath, JSON.stringify(portsOf(connections)));
      await rename(draftPath, silencePath);
      running.kill("SIGUSR2");
    },
    register,
    unregister: () => store.remove(`servers/${id}`),
    closeLog: async () => await output?.close(),
  };
}

/** Starts nodes and backend servers for each service. */
export async function startPlatformFleet(
  options: PlatformFleetOptions,
): Promise<PlatformFleet> {
  const { perService, program = PROGRAM, profileFolder, logFolder } = options;
  const profileFlags = profileFolder === undefined
    ? []
    : ["--cpu-prof", `--cpu-prof-dir=${profileFolder}`];
  const canSilence = options.canSilence ?? false;
  const silenceFlags = canSilence ? ["--import", SILENCE_MODULE] : [];
  const command = [
    ...PROGRAM_FLAGS,
    ...profileFlags,
    ...silenceFlags,
    program,
  ];
  const store = await startKeyValueStore();
  const folder = await mkdtemp(join(tmpdir(), "coltsfootdeal-demo-"));
  const ports = await findMeshPorts();
  const services = DEMO_ROUTES.flatMap(({ service }) =>
    new Array<string>(perService).fill(service)
  );
  const publish = (version: number, routes: readonly DemoRoute[]) => {
    store.put("op/config", formatDemoConfiguration(version, routes));
  };
  publish(1, DEMO_ROUTES);
  const members = await Promise.all(
    services.map((service, index) =>
      startMember({ index, service }, {
        ports,
        store,
        folder,
        command,
        logFolder,
        canSilence,
        readyMs: Math.max(
          READY_TIMEOUT_MS,
          FLEET_READY_TIMEOUT_MS_PER_NODE * services.length,
        ),
      })
    ),
  );

  async function stop(
    { child, backend, closeLog }: PlatformMember,
  ): Promise<void> {
    const running = child();
    if (running.exitCode === null && running.signalCode === null) {
      const exited = once(running, "exit");
      // Only a process that ends by itself writes its profile.
      running.kill(profileFolder === undefined ? "SIGKILL" : "SIGTERM");
      await exited;
    }
    await backend.close();
    await closeLog();
  }

  return {
    store,
    members,
    folder,
    publish,
    close: async () => {
      await Promise.all(members.map(stop));
      await store.close();
      await rm(folder, { recursive: true });
    },
  };
}
