/**
 * The bundled platform program as it is deployed, one process beside each
 * backend server, against stand-ins of store and backend servers on loopback.
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
  formatMeshEntry,
  formatMeshSettings,
  type KeyStore,
  MESH_HOST,
  type MeshBackend,
  type MeshPorts,
  startKeyStore,
  startMeshBackend,
} from "@coltsfootdeal/standin";

const PROGRAM = join(
  import.meta.dirname,
  "../../target/coltsfootdeal-platform-node.mjs",
);
/** Limits under which deploy/system.toml runs the program. */
const PROGRAM_FLAGS = ["--max-old-space-size=140", "--max-semi-space-size=4"];
const GRACE_S = 3;
const SLOTS = 8;
const SERVICE_MS = 10;
/** Longest wait for a node to become ready. */
const READY_LIMIT_MS = 10_000;
const ZONES = ["east", "west"] as const;

/** A route of the demo. */
export interface DemoRoute {
  readonly name: string;
  readonly service: string;
  readonly idempotent: boolean;
  readonly priority: number;
}

/** Routes of the demo; runs of `lookup` call `seal`. */
export const DEMO_ROUTES: readonly DemoRoute[] = [
  { name: "lookup", service: "portal", idempotent: true, priority: 2 },
  { name: "decide", service: "committee", idempotent: false, priority: 1 },
  { name: "seal", service: "seals", idempotent: true, priority: 0 },
];

/** A node's process and the backend server beside it. */
export interface PlatformMember {
  readonly id: string;
  readonly service: string;
  readonly backend: MeshBackend;
  /** Host and port that callers send requests to. */
  readonly callers: { readonly host: string; readonly port: number };
  readonly child: () => ChildProcess;
  /** Starts the program again; resolves with the ms until it was ready. */
  readonly start: () => Promise<number>;
  readonly register: (state: "ready" | "draining") => void;
  readonly unregister: () => void;
}

/** A running fleet. */
export interface PlatformFleet {
  readonly members: readonly PlatformMember[];
  /** Publishes a configuration with these routes. */
  readonly publish: (version: number, routes: readonly DemoRoute[]) => void;
  readonly close: () => Promise<void>;
}

function statusOf(host: string, port: number): Promise<number> {
  return new Promise((resolve) => {
    const asked = request({ host, port, path: "/readiness" }, (response) => {
      response.resume();
      resolve(response.statusCode ?? 0);
    });
    asked.once("error", () => resolve(0));
    asked.end();
  });
}

function configurationOf(version: number, routes: readonly DemoRoute[]) {
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
    readonly store: KeyStore;
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
    graceS: GRACE_S,
  });
  await writeFile(path, settings);
  let child: ChildProcess;

  async function start(): Promise<number> {
    const startedAt = performance.now();
    child = spawn(process.execPath, [...PROGRAM_FLAGS, PROGRAM], {
      env: { COLTSFOOTDEAL_SETTINGS: path },
      stdio: ["ignore", "ignore", "inherit"],
    });
    while (await statusOf(ip, ports.readiness) !== 200) {
      if (performance.now() - startedAt > READY_LIMIT_MS) {
        throw new Error(`node ${id} was not ready in ${READY_LIMIT_MS} ms`);
      }
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    return performance.now() - startedAt;
  }

  function register(state: "ready" | "draining"): void {
    const address = `${ip}:${ports.application}`;
    const entry = { address, service, zone, slots: SLOTS, state };
    store.put(`servers/${id}`, formatMeshEntry(entry));
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

/** Starts `perService` members of each service of the demo. */
export async function startPlatformFleet(
  perService: number,
): Promise<PlatformFleet> {
  const store = await startKeyStore();
  const folder = await mkdtemp(join(tmpdir(), "coltsfootdeal-demo-"));
  const ports = await findMeshPorts();
  const services = DEMO_ROUTES.flatMap(({ service }) =>
    new Array<string>(perService).fill(service)
  );
  const publish = (version: number, routes: readonly DemoRoute[]) => {
    store.put("op/config", configurationOf(version, routes));
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
