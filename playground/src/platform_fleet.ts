/**
 * Runs the bundled platform program as it is deployed, one process beside each
 * backend server, on loopback with stand-ins for the store and the backend
 * servers.
 */

import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
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
/** Memory limits that deploy/system.toml sets for the program. */
const PROGRAM_FLAGS = ["--max-old-space-size=140", "--max-semi-space-size=4"];
const GRACE_PERIOD_S = 3;
const SLOTS = 8;
const SERVICE_MS = 10;
/** Time within which a started node must become ready. */
const READY_TIMEOUT_MS = 10_000;
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

/** A process that runs a node, and the backend server beside it. */
export interface PlatformMember {
  readonly id: string;
  readonly service: string;
  readonly backend: MeshBackend;
  /** Where the node takes plain HTTP requests of callers. */
  readonly callers: { readonly host: string; readonly port: number };
  /** The current process; `start` replaces it. */
  readonly child: () => ChildProcess;
  /**
   * Starts the program. Resolves with the time until it was ready, in ms;
   * rejects if that takes too long.
   */
  readonly start: () => Promise<number>;
  /** Writes the backend server's entry to the store. */
  readonly register: (state: "ready" | "draining") => void;
  /** Removes the backend server's entry from the store. */
  readonly unregister: () => void;
}

/** A running fleet of platform nodes. */
export interface PlatformFleet {
  readonly members: readonly PlatformMember[];
  /** Writes a configuration with these routes to the store. */
  readonly publish: (version: number, routes: readonly DemoRoute[]) => void;
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
  { ports, store, folder }: {
    readonly ports: MeshPorts;
    readonly store: KeyValueStore;
    readonly folder: string;
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
  const path = join(folder, `${id}.toml`);
  const settings = formatMeshSettings({
    name: `node-${id}`,
    ip,
    service,
    zone,
    zones: ZONES,
    store: store.address,
    ports,
    graceS: GRACE_PERIOD_S,
  });
  await writeFile(path, settings);
  let child: ChildProcess;

  async function start(): Promise<number> {
    const startedAt = performance.now();
    child = spawn(process.execPath, [...PROGRAM_FLAGS, PROGRAM], {
      env: { COLTSFOOTDEAL_SETTINGS: path },
      stdio: ["ignore", "ignore", "inherit"],
    });
    while (await fetchReadinessStatus(ip, ports.readiness) !== 200) {
      if (performance.now() - startedAt > READY_TIMEOUT_MS) {
        throw new Error(
          `node ${id}: expected to be ready within ${READY_TIMEOUT_MS} ms`,
        );
      }
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    return performance.now() - startedAt;
  }

  function register(state: "ready" | "draining"): void {
    const address = `${ip}:${ports.application}`;
    const entry = { address, service, zone, slots: SLOTS, state };
    store.put(`servers/${id}`, formatMeshInstanceEntry(entry));
  }

  register("ready");
  await start();
  return {
    id,
    service,
    backend,
    callers: { host: ip, port: ports.outbound },
    child: () => child,
    start,
    register,
    unregister: () => store.remove(`servers/${id}`),
  };
}

/** Starts `perService` nodes and backend servers for each service. */
export async function startPlatformFleet(
  perService: number,
): Promise<PlatformFleet> {
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
      startMember({ index, service }, { ports, store, folder })
    ),
  );

  async function stop({ child, backend }: PlatformMember): Promise<void> {
    const running = child();
    if (running.exitCode === null && running.signalCode === null) {
      const exited = once(running, "exit");
      running.kill("SIGKILL");
      await exited;
    }
    await backend.close();
  }

  return {
    members,
    publish,
    close: async () => {
      await Promise.all(members.map(stop));
      await store.close();
      await rm(folder, { recursive: true });
    },
  };
}
