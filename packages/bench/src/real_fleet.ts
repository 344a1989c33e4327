/** Starts real nodes on loopback in this process, to measure their cost. */

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

/** A running fleet of real nodes. */
export interface RealFleet {
  readonly platform: Platform;
  readonly nodes: readonly Node[];
  readonly backends: readonly Backend[];
  /** Publishes the bundle with a new version. */
  readonly publishBundle: (version: number) => void;
  readonly close: () => Promise<void>;
}

/** Options of a fleet. */
export interface RealFleetOptions {
  /** Number of nodes, each with its own backend server. */
  readonly count: number;
  readonly serviceMs: number;
  readonly dataCentres: number;
  /**
   * Delay of the platform's list of instances.
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
        "timed out after 60 s waiting for the nodes of the fleet",
      );
    }
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

/**
 * Publishes a bundle version and returns the time in ms until it is in force
 * on all nodes.
 */
export async function timeUntilInForce(
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

/** Starts a fleet and waits until all nodes know all instances. */
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
      (_, place) => `dc-${(index + place) % options.dataCentres}`,
    );
    const settings = resolveSettings(formatLoopbackSettings({
      instance: `echo-${index}`,
      service: "echo",
      dataCentres: orderedDataCentres,
      ports: ports.slice(index * 3, index * 3 + 3),
      backend: backend.address,
      platform: platform.address,
      key: keyPair.publicKeyBase64,
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
