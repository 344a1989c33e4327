/** Allocation of free ports for tests and demos. */

import process from "node:process";
import { serveHttp } from "./http_server.ts";
import type { MeshPorts } from "./mesh_settings.ts";

/**
 * Ports 10000 to 29999 lie below the ephemeral range (32768 and up on Linux),
 * so that no outgoing connection takes them.
 */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
/**
 * Distance between the first ports that processes with successive ids try, so
 * that a process tries this many before it meets those of the next one.
 */
const PORTS_PER_PROCESS = 500;

let nextOffset = (process.pid * PORTS_PER_PROCESS) % PORT_COUNT;

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
 * Finds `count` ports of 127.0.0.1 that are free when tried. The search resumes
 * after the last port tried, so the process returns none of them again before
 * it has tried the whole range. Returns fewer if the range has no more.
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  for (let tried = 0; ports.length < count && tried < PORT_COUNT; tried++) {
    const port = FIRST_PORT + nextOffset;
    nextOffset = (nextOffset + 1) % PORT_COUNT;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

/**
 * Finds the ports of a machine. Machines with different IP addresses can use
 * the same ports.
 */
export async function findMeshPorts(): Promise<MeshPorts> {
  const [inbound = 0, outbound = 0, readiness = 0, application = 0, control] =
    await findFreePorts(5);
  return { inbound, outbound, readiness, application, control: control ?? 0 };
}
