/** Free ports for tests and demos. */

import process from "node:process";
import { serveHttp } from "./http_server.ts";
import type { MeshPorts } from "./mesh_settings.ts";

/** Below the range from which systems take ports of outgoing connections. */
const FIRST_PORT = 10_000;
const PORTS = 20_000;
/** Ports that a process tries before it meets those of another one. */
const PORTS_PER_PROCESS = 500;

let next = (process.pid * PORTS_PER_PROCESS) % PORTS;

async function isFree(port: number): Promise<boolean> {
  try {
    const server = await serveHttp((_, response) => response.end(), port);
    await server.close();
    return true;
  } catch {
    return false;
  }
}

/**
 * Finds `count` ports of 127.0.0.1 that are free at present. They are not
 * handed out again, nor taken by outgoing connections.
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  for (let tried = 0; ports.length < count && tried < PORTS; tried++) {
    const port = FIRST_PORT + next;
    next = (next + 1) % PORTS;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

/** Finds the ports of a machine; machines with other addresses may share them. */
export async function findMeshPorts(): Promise<MeshPorts> {
  const [inbound = 0, outbound = 0, readiness = 0, application = 0, control] =
    await findFreePorts(5);
  return { inbound, outbound, readiness, application, control: control ?? 0 };
}
