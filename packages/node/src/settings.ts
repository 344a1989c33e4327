/** The node's settings, read from INI text. */

import {
  type Fault,
  integerField,
  listField,
  parsePublicKey,
  parseSections,
  type PublicKey,
  stringField,
  type TrustPolicy,
  validateSection,
} from "@coltsfootdeal/bundle";
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";

/** An IP number and a port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Bounds of the retries that a fleet sends to one service. */
export interface RetryBounds {
  /** Retries for each call. */
  readonly ratio: number;
  /** Retries beyond that in one window, over the whole fleet. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Resolved settings of a node on any platform. */
export interface NodeSettings {
  readonly instance: string;
  readonly service: string;
  readonly dataCentre: string;
  /** All data centres, the own one first, then by distance. */
  readonly dataCentres: readonly string[];
  /** Listener for callers and other nodes' calls. */
  readonly data: Address;
  /** Listener for operators; read-only. */
  readonly admin: Address;
  /** Listener for other nodes' control messages. */
  readonly control: Address;
  /** Control addresses of nodes to learn from first. */
  readonly seeds: readonly Address[];
  /**
   * Where the node learns which backend server is beside it.
   * @default "settings"
   */
  readonly backendFrom?: "settings" | "instance_list";
  /**
   * Which nodes read the platform.
   * @default "elected"
   */
  readonly readers?: "elected" | "all";
  /** Bounds that the platform sets for retries; none by default. */
  readonly retries?: RetryBounds;
  /** Time from the request to stop until the process is killed, in ms. */
  readonly graceMs?: number;
}

/** Resolved settings of a node on the own interface. */
export interface Settings extends NodeSettings {
  readonly backend: Address;
  readonly platform: Address;
  readonly trust: TrustPolicy;
}

const NAME = /^[a-z0-9][a-z0-9-]{0,63}$/;
const IP = String.raw`(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\])`;
const ADDRESS = new RegExp(`^${IP}:\\d{1,5}$`);
const KEY = /^[A-Za-z0-9+/]{43}=$/;

const name = () =>
  stringField(NAME, "a name of small letters, digits, hyphens");
const address = () => stringField(ADDRESS, "an IP number and a port");

const SCHEMAS = {
  node: z.strictObject({
    instance: name(),
    service: name(),
    data_centre: name(),
    other_data_centres: listField(NAME, "names, the nearest first").default([]),
  }),
  listen: z.strictObject({
    data: address(),
    admin: address(),
    control: address(),
  }),
  backend: z.strictObject({ address: address() }),
  platform: z.strictObject({ address: address() }),
  trust: z.strictObject({
    keys: listField(KEY, "public keys in base64").refine(
      (keys) => keys.length > 0,
      "at least one public key in base64",
    ),
    approvals_required: integerField(1, 16).default(1),
  }),
  peers: z.strictObject({
    seeds: listField(ADDRESS, "IP numbers with ports").default([]),
  }),
} as const;

type SectionName = keyof typeof SCHEMAS;

/** Reads an address from text that matches the address pattern. */
export function parseAddress(text: string): Address {
  const colon = text.lastIndexOf(":");
  const host = text.slice(0, colon).replace(/^\[|\]$/g, "");
  return { host, port: Number(text.slice(colon + 1)) };
}

/** Writes an address as IP number and port. */
export function formatAddress({ host, port }: Address): string {
  return host.includes(":") ? `[${host}]:${port}` : `${host}:${port}`;
}

function readKeys(texts: readonly string[]): readonly PublicKey[] {
  return texts.flatMap((text) => parsePublicKey(text).unwrapOr([] as never));
}

/** Checks settings; all faults are returned, not only the first. */
export function resolveSettings(
  text: string,
): Result<Settings, readonly Fault[]> {
  const { sections, faults } = parseSections(text);
  const found: Fault[] = [...faults];
  for (const section of sections.keys()) {
    if (section in SCHEMAS) continue;
    const expected = `one of ${Object.keys(SCHEMAS).join(", ")}`;
    found.push({ section, key: "(section)", expected });
  }

  function read<Name extends SectionName>(
    section: Name,
  ): z.output<(typeof SCHEMAS)[Name]> | undefined {
    const given = sections.get(section) ?? {};
    const checked = validateSection(SCHEMAS[section], given, { name: section });
    found.push(...checked.faults);
    return checked.value as z.output<(typeof SCHEMAS)[Name]> | undefined;
  }

  const node = read("node");
  const listen = read("listen");
  const backend = read("backend");
  const platform = read("platform");
  const trust = read("trust");
  const peers = read("peers");
  if (
    found.length > 0 || !node || !listen || !backend || !platform || !trust ||
    !peers
  ) {
    return err(found);
  }
  return ok({
    instance: node.instance,
    service: node.service,
    dataCentre: node.data_centre,
    dataCentres: [node.data_centre, ...node.other_data_centres],
    data: parseAddress(listen.data),
    admin: parseAddress(listen.admin),
    control: parseAddress(listen.control),
    backend: parseAddress(backend.address),
    platform: parseAddress(platform.address),
    trust: {
      keys: readKeys(trust.keys),
      approvalsRequired: trust.approvals_required,
    },
    seeds: peers.seeds.map(parseAddress),
  });
}

/** Settings of a node on loopback, for demos, tests and measurements. */
export interface LoopbackSettings {
  readonly instance: string;
  readonly service: string;
  /** All data centres, the node's own one first. */
  readonly dataCentres: readonly string[];
  /** Ports of the data, admin and control listeners. */
  readonly ports: readonly number[];
  /** Addresses with ports. */
  readonly backend: string;
  readonly platform: string;
  /** Public key that the node trusts. */
  readonly key: string;
  /** Control addresses of seeds. */
  readonly seeds?: readonly string[];
}

/** Writes the settings file of a node on loopback. */
export function formatLoopbackSettings(node: LoopbackSettings): string {
  const [dataCentre, ...others] = node.dataCentres;
  const [data, admin, control] = node.ports;
  return `[node]
instance = ${node.instance}
service = ${node.service}
data_centre = ${dataCentre}
other_data_centres = ${others.join(", ")}
[listen]
data = 127.0.0.1:${data}
admin = 127.0.0.1:${admin}
control = 127.0.0.1:${control}
[backend]
address = ${node.backend}
[platform]
address = ${node.platform}
[trust]
keys = ${node.key}
[peers]
seeds = ${(node.seeds ?? []).join(", ")}
`;
}
