/** A deployment on loopback: platform, backend servers and nodes. */

import {
  approveBundle,
  createKeyPair,
  packEnvelope,
  type PrivateKey,
  readPrivateKey,
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

/** Slots are divided by this, so that one process can overload them. */
const SLOTS_DIVISOR = 10;
/** Time that a call takes on a stand-in, in ms. */
const SERVICE_MS = 40;

/** A backend server and the node beside it. */
export interface Member {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly backend: Backend;
  readonly node: Node;
}

/** A running deployment. */
export interface Fleet {
  readonly platform: Platform;
  readonly members: readonly Member[];
  /** Signs a bundle text and publishes it. */
  readonly roll: (bundle: string) => void;
  readonly close: () => Promise<void>;
}

function scaleSlots(bundle: string): string {
  return bundle.replace(
    /^slots = (\d+)$/gm,
    (_, slots) => `slots = ${Math.max(1, Math.round(slots / SLOTS_DIVISOR))}`,
  );
}

function slotsOf(bundle: string, service: string): number {
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
}): Promise<Member> {
  const { deployment, service, index, platform } = options;
  const { dataCentres } = deployment;
  const place = index % dataCentres.length;
  const dataCentre = dataCentres[place] ?? "";
  const others = dataCentres.filter((name) => name !== dataCentre);
  const id = `${service.name}-${index + 1}`;
  let nodeAddress = "";
  const backend = await startBackend({
    service: service.name,
    slots: slotsOf(options.bundle, service.name),
    serviceMs: SERVICE_MS,
    node: () => nodeAddress,
    children: service.children,
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

async function waitUntilReady(members: readonly Member[]): Promise<void> {
  const deadline = performance.now() + 10_000;
  const isReady = ({ node }: Member) =>
    node.readiness().ready &&
    node.status().upstreams.length >= members.length;
  while (!members.every(isReady)) {
    if (performance.now() > deadline) throw new Error("nodes are not ready");
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

/** Starts a deployment and waits until all nodes are ready. */
export async function startFleet(deployment: Deployment): Promise<Fleet> {
  const platform = await startPlatform();
  const pair = createKeyPair();
  const key: PrivateKey = readPrivateKey(pair.privatePem)._unsafeUnwrap();
  const bundle = scaleSlots(deployment.bundle);

  function roll(text: string): void {
    const approvals = [approveBundle(text, key)];
    platform.publish("bundles/fleet", packEnvelope(text, approvals));
  }

  roll(bundle);
  const members: Member[] = [];
  for (const service of deployment.services) {
    for (let index = 0; index < service.upstreams; index++) {
      const publicKey = pair.publicText;
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
    roll: (text) => roll(scaleSlots(text)),
    close: async () => {
      await Promise.all(members.map(({ node }) => node.kill()));
      await Promise.all(members.map(({ backend }) => backend.close()));
      await platform.close();
    },
  };
}
