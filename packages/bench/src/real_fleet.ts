/**
 * Starts real nodes on loopback in this process, to measure their latency, CPU
 * time and network traffic.
 */

import {
  approveBundle,
  createKeyPair,
  parsePrivateKey,
  serializeEnvelope,
} from "@coltsfootdeal/bundle";
import {
  createSilentLog,
  createSystemClock,
  formatLoopbackSettings,
  type Node,
  resolveSettings,
  startNode,
} from "@coltsfootdeal/node";
import {
  type Backend,
  findFreePorts,
  type Platform,
  startBackend,
  startPlatform,
} from "@coltsfootdeal/standin";

/** Nodes with their backend servers and the platform that they use. */
export interface RealFleet {
  readonly platform: Platform;
  readonly nodes: readonly Node[];
  readonly backends: readonly Backend[];
  /** Publishes the fleet's bundle under the given version. */
  readonly publishBundle: (version: number) => void;
  readonly close: () => Promise<void>;
}

/** Size and delays of a fleet. */
export interface RealFleetOptions {
  /** Number of nodes, each with its own backend server. */
  readonly count: number;
  /** Service time of the backend servers, in ms. */
  readonly serviceMs: number;
  readonly dataCentres: number;
  /**
   * Delay before a change appears in the platform's instance list, in ms.
   * @default 0
   */
  readonly listLagMs?: number;
}

function bundleText(version: number): string {
  return `
[bundle]
scope = fleet
version = ${version}
[account:office]
callers = *
[service:echo]
slots = 200
connections = 400
cancellation = close
[kind:echo/read]
rank = 50
idempotent = yes
deadline_ms = 5000
weight = 1
`;
}

async function waitFor(condition: () => boolean): Promise<void> {
  const deadline = performance.now() + 60_000;
  while (!condition()) {
    if (performance.now() > deadline) {
      throw new Error(
        "timed out after 60 s waiting for nodes to get ready or apply a bundle",
      );
    }
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

/**
 * Publishes a bundle version and returns the time in ms until it is in force
 * on all nodes.
 */
export async function publishAndWait(
  fleet: RealFleet,
  version: number,
): Promise<number> {
  const startedAt = performance.now();
  fleet.publishBundle(version);
  await waitFor(() =>
    fleet.nodes.every((node) =>
      node.status().bundles.some((bundle) => bundle.version === version)
    )
  );
  return performance.now() - startedAt;
}

/**
 * Starts a fleet and waits until all nodes are ready and know all instances.
 * The first node is the gossip seed of the others.
 */
export async function startRealFleet(
  options: RealFleetOptions,
): Promise<RealFleet> {
  const platform = await startPlatform({ listLagMs: options.listLagMs ?? 0 });
  const keyPair = createKeyPair();
  const key = parsePrivateKey(keyPair.privateKeyPem)._unsafeUnwrap();
  const publishBundle = (version: number) => {
    const text = bundleText(version);
    const envelope = serializeEnvelope(text, [approveBundle(text, key)]);
    platform.publish("bundles/fleet", envelope);
  };
  publishBundle(1);
  const nodes: Node[] = [];
  const backends: Backend[] = [];
  // Each node listens on three ports: data, admin and control.
  const ports = await findFreePorts(options.count * 3);
  for (let index = 0; index < options.count; index++) {
    const { serviceMs } = options;
    const backend = await startBackend({
      service: "echo",
      slots: 200,
      serviceMs,
    });
    backends.push(backend);
    // The first data centre is the node's own.
    const orderedDataCentres = Array.from(
      { length: options.dataCentres },
      (_, offset) => `dc-${(index + offset) % options.dataCentres}`,
    );
    const settings = resolveSettings(formatLoopbackSettings({
      instance: `echo-${index}`,
      service: "echo",
      dataCentres: orderedDataCentres,
      ports: ports.slice(index * 3, index * 3 + 3),
      backend: backend.address,
      platform: platform.address,
      key: keyPair.publicKeyBase64,
      // The control port of the first node.
      seeds: [`127.0.0.1:${ports[2]}`],
    }))._unsafeUnwrap();
    const started = await startNode(settings, {
      clock: createSystemClock(),
      log: createSilentLog(),
    });
    const node = started._unsafeUnwrap();
    nodes.push(node);
    platform.putInstance({
      id: `echo-${index}`,
      service: "echo",
      dataCentre: orderedDataCentres[0] ?? "",
      address: node.dataAddress,
      control: node.controlAddress,
      state: "live",
    });
  }
  await waitFor(() =>
    nodes.every((node) =>
      node.readiness().ready && node.knownInstanceCount() === options.count
    )
  );
  return {
    platform,
    nodes,
    backends,
    publishBundle,
    close: async () => {
      await Promise.all(nodes.map((node) => node.kill()));
      await Promise.all(backends.map((backend) => backend.close()));
      await platform.close();
    },
  };
}
