/** Runs a deployment in one process: stand-ins and real nodes on loopback. */

import {
  approveBundle,
  createKeyPair,
  parsePrivateKey,
  type PrivateKey,
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
import type { Deployment } from "./deployments.ts";

/** Divisor of the bundle's slots, so that one process can overload them. */
const SLOTS_DIVISOR = 10;
/** Service time of a call on a stand-in, in ms. */
const SERVICE_MS = 40;

/** A backend server and the node beside it. */
export interface FleetMember {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly backend: Backend;
  readonly node: Node;
}

/** A running deployment. */
export interface Fleet {
  readonly platform: Platform;
  readonly members: readonly FleetMember[];
  /** Signs a bundle's text and publishes it, with its slots scaled down. */
  readonly publishBundle: (bundle: string) => void;
  readonly close: () => Promise<void>;
}

function scaleSlots(bundle: string): string {
  return bundle.replace(
    /^slots = (\d+)$/gm,
    (_, slots) => `slots = ${Math.max(1, Math.round(slots / SLOTS_DIVISOR))}`,
  );
}

function readSlots(bundle: string, service: string): number {
  const section = bundle.split(`[service:${service}]`)[1] ?? "";
  return Number(/^slots = (\d+)$/m.exec(section)?.[1] ?? "1");
}

async function startMember(options: {
  readonly deployment: Deployment;
  readonly service: Deployment["services"][number];
  readonly index: number;
  readonly bundle: string;
  readonly platform: Platform;
  readonly publicKey: string;
}): Promise<FleetMember> {
  const { deployment, service, index, platform } = options;
  const { dataCentres } = deployment;
  const dataCentreIndex = index % dataCentres.length;
  const dataCentre = dataCentres[dataCentreIndex] ?? "";
  const others = dataCentres.filter((name) => name !== dataCentre);
  const id = `${service.name}-${index + 1}`;
  let nodeAddress = "";
  const backend = await startBackend({
    service: service.name,
    slots: readSlots(options.bundle, service.name),
    serviceMs: SERVICE_MS,
    node: () => nodeAddress,
    nestedCalls: service.nestedCalls,
  });
  const settings = resolveSettings(formatLoopbackSettings({
    instance: id,
    service: service.name,
    dataCentres: [dataCentre, ...others],
    ports: await findFreePorts(3),
    backend: backend.address,
    platform: platform.address,
    key: options.publicKey,
  }));
  if (settings.isErr()) throw new Error(JSON.stringify(settings.error));
  const started = await startNode(settings.value, {
    clock: createSystemClock(),
    log: createSilentLog(),
  });
  if (started.isErr()) throw new Error(started.error.message);
  const node = started.value;
  nodeAddress = node.dataAddress;
  platform.putInstance({
    id,
    service: service.name,
    dataCentre,
    address: node.dataAddress,
    control: node.controlAddress,
    state: "live",
  });
  return { id, service: service.name, dataCentre, backend, node };
}

async function waitUntilReady(members: readonly FleetMember[]): Promise<void> {
  const deadline = performance.now() + 10_000;
  const isReady = ({ node }: FleetMember) =>
    node.readiness().ready &&
    node.status().upstreams.length >= members.length;
  while (!members.every(isReady)) {
    if (performance.now() > deadline) throw new Error("node not ready in 10 s");
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

/** Starts a deployment and waits until all nodes are ready. */
export async function startFleet(deployment: Deployment): Promise<Fleet> {
  const platform = await startPlatform();
  const keyPair = createKeyPair();
  const key: PrivateKey = parsePrivateKey(keyPair.privateKeyPem)
    ._unsafeUnwrap();
  const bundle = scaleSlots(deployment.bundle);

  function publishBundle(text: string): void {
    const approvals = [approveBundle(text, key)];
    platform.publish("bundles/fleet", serializeEnvelope(text, approvals));
  }

  publishBundle(bundle);
  const members: FleetMember[] = [];
  for (const service of deployment.services) {
    for (let index = 0; index < service.upstreams; index++) {
      const publicKey = keyPair.publicKeyBase64;
      members.push(
        await startMember({
          deployment,
          service,
          index,
          bundle,
          platform,
          publicKey,
        }),
      );
    }
  }
  await waitUntilReady(members);
  return {
    platform,
    members,
    publishBundle: (text) => publishBundle(scaleSlots(text)),
    close: async () => {
      await Promise.all(members.map(({ node }) => node.kill()));
      await Promise.all(members.map(({ backend }) => backend.close()));
      await platform.close();
    },
  };
}
