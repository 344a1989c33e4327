/** A small fleet on loopback for tests: one service, real sockets. */

import {
  approveBundle,
  createKeyPair,
  packEnvelope,
  readPrivateKey,
} from "@coltsfootdeal/bundle";
import { type Client, createClient } from "@coltsfootdeal/client";
import { createSystemClock } from "@coltsfootdeal/kernel";
import {
  type Backend,
  type BackendOptions,
  findFreePorts,
  type Platform,
  startBackend,
  startPlatform,
} from "@coltsfootdeal/standin";
import { createSilentLog } from "../log.ts";
import { startNode } from "../node.ts";
import type { Node } from "../node_types.ts";
import { formatLoopbackSettings, resolveSettings } from "../settings.ts";

/** Bundle text of the test service. */
export function bundleText(version: number, extra = ""): string {
  return `
[bundle]
scope = fleet
version = ${version}
[account:office]
callers = *
[service:seals]
slots = 4
connections = 50
cancellation = close
shed_status = 503
shed_header = x-shed
health_path = /health
[kind:seals/check]
rank = 80
protected = yes
idempotent = yes
deadline_ms = 5000
weight = 5
retry_allowance = 2
[kind:seals/browse]
rank = 10
idempotent = yes
deadline_ms = 5000
weight = 1
body_max_bytes = 1000
[kind:seals/sanction]
rank = 90
protected = yes
idempotent = no
deadline_ms = 5000
weight = 9
${extra}`;
}

/** Keys and signing for a test. */
export function createOperator() {
  const pair = createKeyPair();
  const key = readPrivateKey(pair.privatePem)._unsafeUnwrap();
  return {
    publicText: pair.publicText,
    seal: (text: string) => packEnvelope(text, [approveBundle(text, key)]),
  };
}

/** One node and its backend server. */
export interface TestMember {
  readonly id: string;
  readonly node: Node;
  readonly backend: Backend;
  readonly controlAddress: string;
}

/** A test's fleet. */
export interface TestFleet {
  readonly platform: Platform;
  readonly operator: ReturnType<typeof createOperator>;
  readonly members: TestMember[];
  readonly add: (options?: {
    readonly id?: string;
    readonly seeds?: readonly string[];
    readonly backend?: Partial<BackendOptions>;
    readonly dataCentre?: string;
    readonly control?: number;
  }) => Promise<TestMember>;
  readonly client: (caller: string, nodes?: readonly string[]) => Client;
  readonly close: () => Promise<void>;
}

/** Waits until a condition holds. */
export async function until(
  condition: () => boolean,
  what: string,
): Promise<void> {
  const deadline = performance.now() + 30_000;
  while (!condition()) {
    if (performance.now() > deadline) throw new Error(`never: ${what}`);
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

/** Starts a platform; nodes are added by the test. */
export async function startTestFleet(): Promise<TestFleet> {
  const platform = await startPlatform();
  const operator = createOperator();
  const members: TestMember[] = [];
  const clients: Client[] = [];

  return {
    platform,
    operator,
    members,
    add: async (options = {}) => {
      const id = options.id ?? `seals-${members.length + 1}`;
      const dataCentre = options.dataCentre ?? "east";
      const other = dataCentre === "east" ? "west" : "east";
      const backend = await startBackend({
        service: "seals",
        slots: 4,
        serviceMs: 5,
        ...options.backend,
      });
      const [data = 0, admin = 0, free = 0] = await findFreePorts(3);
      const settings = resolveSettings(formatLoopbackSettings({
        instance: id,
        service: "seals",
        dataCentres: [dataCentre, other],
        ports: [data, admin, options.control ?? free],
        backend: backend.address,
        platform: platform.address,
        key: operator.publicText,
        seeds: options.seeds ?? [],
      }))._unsafeUnwrap();
      const started = await startNode(settings, {
        clock: createSystemClock(),
        log: createSilentLog(),
      });
      const node = started._unsafeUnwrap();
      const controlAddress = node.controlAddress;
      const member = { id, node, backend, controlAddress };
      members.push(member);
      platform.putInstance({
        id,
        service: "seals",
        dataCentre,
        address: node.dataAddress,
        control: controlAddress,
        state: "live",
      });
      return member;
    },
    client: (caller, nodes) => {
      const client = createClient({
        nodes: nodes ?? members.map(({ node }) => node.dataAddress),
        identity: { account: "office", caller },
      });
      clients.push(client);
      return client;
    },
    close: async () => {
      await Promise.all(clients.map((client) => client.close()));
      await Promise.all(members.map(({ node }) => node.kill()));
      await Promise.all(members.map(({ backend }) => backend.close()));
      await platform.close();
    },
  };
}

/** Whether a node is ready and knows `count` gates. */
export function knows(member: TestMember, count: number): boolean {
  return member.node.readiness().ready &&
    member.node.status().upstreams.length === count;
}
