/** Real nodes on loopback in one process, for measurements of cost. */

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
  /** Publishes the bundle under a version. */
  readonly roll: (version: number) => void;
  readonly close: () => Promise<void>;
}

/** What is to be started. */
export interface RealFleetOptions {
  readonly count: number;
  readonly serviceMs: number;
  readonly dataCentres: number;
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
    if (performance.now() > deadline) throw new Error("the fleet is not ready");
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

/** Waits until every node has a version in force; returns the time in ms. */
export async function timeUntilInForce(
  fleet: RealFleet,
  version: number,
): Promise<number> {
  const startedAt = performance.now();
  fleet.roll(version);
  await waitFor(() =>
    fleet.nodes.every((node) =>
      node.status().bundles.some((bundle) => bundle.version === version)
    )
  );
  return performance.now() - startedAt;
}

/** Starts a fleet and waits until every node knows every other. */
export async function startRealFleet(
  options: RealFleetOptions,
): Promise<RealFleet> {
  const platform = await startPlatform({ listLagMs: options.listLagMs ?? 0 });
  const pair = createKeyPair();
  const key = parsePrivateKey(pair.privateKeyPem)._unsafeUnwrap();
  const roll = (version: number) => {
    const text = bundleText(version);
    const envelope = serializeEnvelope(text, [approveBundle(text, key)]);
    platform.publish("bundles/fleet", envelope);
  };
  roll(1);
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
    const places = Array.from(
      { length: options.dataCentres },
      (_, place) => `dc-${(index + place) % options.dataCentres}`,
    );
    const settings = resolveSettings(formatLoopbackSettings({
      instance: `echo-${index}`,
      service: "echo",
      dataCentres: places,
      ports: ports.slice(index * 3, index * 3 + 3),
      backend: backend.address,
      platform: platform.address,
      key: pair.publicKeyBase64,
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
      dataCentre: places[0] ?? "",
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
    roll,
    close: async () => {
      await Promise.all(nodes.map((node) => node.kill()));
      await Promise.all(backends.map((backend) => backend.close()));
      await platform.close();
    },
  };
}
