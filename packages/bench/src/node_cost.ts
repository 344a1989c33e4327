/** Measures the latency that nodes add to a call, on loopback. */

import { Buffer } from "node:buffer";
import { Agent } from "undici";
import { type Percentiles, percentilesOf } from "./measure.ts";
import { startRealFleet } from "./real_fleet.ts";

/** Latency of direct calls and of calls through nodes. */
export interface NodeCostResult {
  readonly measure: "node";
  readonly callsPerSecond: number;
  readonly seconds: number;
  /** Latency of a call that goes directly to the backend server, in ms. */
  readonly direct: Percentiles;
  /** Latency of the same call through a node's ingress and a gate, in ms. */
  readonly through: Percentiles;
  /** Difference of the medians, in ms. */
  readonly addedP50Ms: number;
  /** Difference of the 99th percentiles, in ms. */
  readonly addedP99Ms: number;
}

/** Rate and duration of the load. */
export interface NodeCostOptions {
  readonly callsPerSecond: number;
  readonly seconds: number;
}

const WARM_UP_SECONDS = 3;
const BODY = Buffer.from("x".repeat(200));

/** Where calls are sent, and with which headers. */
interface LoadTarget {
  readonly agent: Agent;
  readonly origin: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
}

/** Sends one call and records its latency in ms if it succeeds. */
async function sendOne(target: LoadTarget, latencies: number[]): Promise<void> {
  const startedAt = performance.now();
  const { agent, origin, path, headers } = target;
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

/** Sends calls at a constant rate, without waiting for earlier ones. */
async function sendAtRate(
  target: LoadTarget,
  options: NodeCostOptions,
): Promise<readonly number[]> {
  const latencies: number[] = [];
  const total = options.callsPerSecond * options.seconds;
  const running: Promise<void>[] = [];
  const startedAt = performance.now();
  while (running.length < total) {
    const elapsed = (performance.now() - startedAt) / 1_000;
    const due = Math.min(total, Math.floor(elapsed * options.callsPerSecond));
    while (running.length < due) running.push(sendOne(target, latencies));
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
  await Promise.all(running);
  return latencies;
}

/** Addresses of a backend server and of a node to send calls through. */
export interface NodeCostTarget {
  readonly direct: string;
  readonly node: string;
}

/** Measures a backend server and nodes that are already running. */
export async function measureNodeCost(
  target: NodeCostTarget,
  options: NodeCostOptions,
): Promise<NodeCostResult> {
  const agent = new Agent({ connections: 64 });
  const direct: LoadTarget = {
    agent,
    origin: `http://${target.direct}`,
    path: "/read",
    headers: {},
  };
  const through: LoadTarget = {
    agent,
    origin: `http://${target.node}`,
    path: "/v1/call/echo/read",
    headers: {
      "coltsfootdeal-account": "office",
      "coltsfootdeal-caller": "bench",
      "coltsfootdeal-deadline-ms": "2000",
    },
  };
  const warmUp = { ...options, seconds: WARM_UP_SECONDS };
  await sendAtRate(direct, warmUp);
  await sendAtRate(through, warmUp);
  const directTimes = percentilesOf(await sendAtRate(direct, options));
  const throughTimes = percentilesOf(await sendAtRate(through, options));
  await agent.destroy();
  return {
    measure: "node",
    ...options,
    direct: directTimes,
    through: throughTimes,
    addedP50Ms: throughTimes.p50 - directTimes.p50,
    addedP99Ms: throughTimes.p99 - directTimes.p99,
  };
}

/** Measures two nodes and their backend servers, run in this process. */
export async function measureNodeCostInProcess(
  options: NodeCostOptions,
): Promise<NodeCostResult> {
  const fleet = await startRealFleet({
    count: 2,
    serviceMs: 1,
    dataCentres: 1,
  });
  const direct = fleet.backends[0]?.address ?? "";
  const node = fleet.nodes[0]?.dataAddress ?? "";
  const result = await measureNodeCost({ direct, node }, options);
  await fleet.close();
  return result;
}
