/** Time that a node adds to a call, on loopback, beside a direct call. */

import { Buffer } from "node:buffer";
import process from "node:process";
import { Agent } from "undici";
import { type Percentiles, percentilesOf } from "./measure.ts";
import { startRealFleet } from "./real_fleet.ts";

/** Result of the comparison. */
export interface NodeCostResult {
  readonly measure: "node";
  readonly callsPerSecond: number;
  readonly seconds: number;
  /** Latency of a call to the backend server itself, in ms. */
  readonly direct: Percentiles;
  /** Latency of the same call through ingress and gate of two nodes, in ms. */
  readonly through: Percentiles;
  /** Difference of the 99th percentiles, in ms. */
  readonly addedP99Ms: number;
  /** Processor time per call through two nodes, client and stand-in, in µs. */
  readonly cpuPerCallUs: number;
}

/** What is to be run. */
export interface NodeCostOptions {
  readonly callsPerSecond: number;
  readonly seconds: number;
}

const BODY = Buffer.from("x".repeat(200));

interface Load {
  readonly agent: Agent;
  readonly origin: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
}

async function sendOne(load: Load, latencies: number[]): Promise<void> {
  const startedAt = performance.now();
  const { agent, origin, path, headers } = load;
  const response = await agent.request({
    origin,
    path,
    method: "POST",
    headers,
    body: BODY,
  });
  await response.body.arrayBuffer();
  if (response.statusCode === 200) {
    latencies.push(performance.now() - startedAt);
  }
}

/** Sends calls at an even rate, whether or not earlier ones have ended. */
async function drive(
  load: Load,
  options: NodeCostOptions,
): Promise<readonly number[]> {
  const latencies: number[] = [];
  const total = options.callsPerSecond * options.seconds;
  const running: Promise<void>[] = [];
  const startedAt = performance.now();
  while (running.length < total) {
    const elapsed = (performance.now() - startedAt) / 1_000;
    const due = Math.min(total, Math.floor(elapsed * options.callsPerSecond));
    while (running.length < due) running.push(sendOne(load, latencies));
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  await Promise.all(running);
  return latencies;
}

/** Measures calls that cross two nodes, each with its backend server. */
export async function measureNodeCost(
  options: NodeCostOptions,
): Promise<NodeCostResult> {
  const fleet = await startRealFleet({
    count: 2,
    serviceMs: 1,
    dataCentres: 1,
  });
  const agent = new Agent({ connections: 64 });
  const direct: Load = {
    agent,
    origin: `http://${fleet.backends[0]?.address}`,
    path: "/read",
    headers: {},
  };
  const through: Load = {
    agent,
    origin: `http://${fleet.nodes[0]?.dataAddress}`,
    path: "/v1/call/echo/read",
    headers: {
      "coltsfootdeal-account": "office",
      "coltsfootdeal-caller": "bench",
      "coltsfootdeal-deadline-ms": "2000",
    },
  };
  const warmUp = { ...options, seconds: 2 };
  await drive(direct, warmUp);
  await drive(through, warmUp);
  const directTimes = percentilesOf(await drive(direct, options));
  const before = process.cpuUsage();
  const times = await drive(through, options);
  const used = process.cpuUsage(before);
  const throughTimes = percentilesOf(times);
  await agent.destroy();
  await fleet.close();
  return {
    measure: "node",
    ...options,
    direct: directTimes,
    through: throughTimes,
    addedP99Ms: throughTimes.p99 - directTimes.p99,
    cpuPerCallUs: (used.user + used.system) / Math.max(1, times.length),
  };
}
