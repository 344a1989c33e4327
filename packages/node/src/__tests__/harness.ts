/** Test fleet on loopback: nodes and backend servers of one service. */

import {
  approveBundle,
  createKeyPair,
  parsePrivateKey,
  serializeEnvelope,
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

/** Creates the text of a fleet bundle with one service and three kinds. */
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

/** Creates an operator with a new key pair, who signs bundles. */
export function createOperator() {
  const pair = createKeyPair();
  const key = parsePrivateKey(pair.privateKeyPem)._unsafeUnwrap();
  return {
    publicKeyBase64: pair.publicKeyBase64,
    sign: (text: string) => serializeEnvelope(text, [approveBundle(text, key)]),
  };
}

/** One node and its backend server. */
export interface TestMember {
  readonly id: string;
  readonly node: Node;
  readonly backend: Backend;
  readonly controlAddress: string;
}

/** A platform with the members and clients that a test adds. */
export interface TestFleet {
  readonly platform: Platform;
  readonly operator: ReturnType<typeof createOperator>;
  readonly members: TestMember[];
  /** Starts a node with its backend server and lists it on the platform. */
  readonly add: (options?: {
    readonly id?: string;
    /** Control addresses of the seeds. @default none */
    readonly seeds?: readonly string[];
    readonly backend?: Partial<BackendOptions>;
    readonly dataCentre?: string;
    /** Port of the control listener. @default a free port */
    readonly control?: number;
  }) => Promise<TestMember>;
  /**
   * Creates a client. `nodes` are the data addresses that it calls; unless
   * given, those of the members added so far.
   */
  readonly client: (caller: string, nodes?: readonly string[]) => Client;
  readonly close: () => Promise<void>;
}

/** Waits until a condition holds; throws after 30 s, naming `what`. */
export async function waitUntil(
  condition: () => boolean,
  what: string,
): Promise<void> {
  const deadline = performance.now() + 30_000;
  while (!condition()) {
    if (performance.now() > deadline) throw new Error(`timed out: ${what}`);
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

/** Starts a platform without nodes and without a bundle. */
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
      const otherDataCentre = dataCentre === "east" ? "west" : "east";
      const backend = await startBackend({
        service: "seals",
        slots: 4,
        serviceMs: 5,
        ...options.backend,
      });
      const [data = 0, admin = 0, control = 0] = await findFreePorts(3);
      const settings = resolveSettings(formatLoopbackSettings({
        instance: id,
        service: "seals",
        dataCentres: [dataCentre, otherDataCentre],
        ports: [data, admin, options.control ?? control],
        backend: backend.address,
        platform: platform.address,
        key: operator.publicKeyBase64,
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

/**
 * Whether a node is ready and has exactly `count` upstreams, its own gate
 * included.
 */
export function isReadyWithUpstreams(
  member: TestMember,
  count: number,
): boolean {
  return member.node.readiness().ready &&
    member.node.status().upstreams.length === count;
}
