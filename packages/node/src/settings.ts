/** Settings of a node, parsed from INI text. */

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

/** An IP address and a port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Bounds on the retries that the whole fleet sends to one service. */
export interface RetryBounds {
  /** Retries per call. */
  readonly ratio: number;
  /** Retries in one window beyond the ratio, for the whole fleet. */
  readonly slack: number;
  /** Length of the window, in ms. */
  readonly windowMs: number;
}

/** Resolved settings that a node has on every platform. */
export interface NodeSettings {
  readonly instance: string;
  readonly service: string;
  readonly dataCentre: string;
  /** All data centres: this node's first, then the others, nearest first. */
  readonly dataCentres: readonly string[];
  /** Listener for calls of callers and of other nodes. */
  readonly data: Address;
  /** Listener for operators; read-only. */
  readonly admin: Address;
  /** Listener for other nodes' control messages. */
  readonly control: Address;
  /** Control addresses of the nodes to contact first. */
  readonly seeds: readonly Address[];
  /**
   * Address at which the platform's instance list has the backend server beside
   * this node. Undefined if the node knows it from its settings alone.
   */
  readonly listedBackend?: Address;
  /** Bounds that the platform sets on retries; none by default. */
  readonly retries?: RetryBounds;
  /** Grace period from the stop signal until the process is killed, in ms. */
  readonly graceMs?: number;
}

/** Resolved settings of a node that speaks the native protocol. */
export interface Settings extends NodeSettings {
  /** Backend server beside the node. */
  readonly backend: Address;
  readonly platform: Address;
  /** Keys that sign bundles, and the number of signatures required. */
  readonly trust: TrustPolicy;
}

const NAME = /^[a-z0-9][a-z0-9-]{0,63}$/;
const IP = String.raw`(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\])`;
const ADDRESS = new RegExp(`^${IP}:\\d{1,5}$`);
/** A public key of 32 bytes in base64. */
const PUBLIC_KEY = /^[A-Za-z0-9+/]{43}=$/;

const nameField = () =>
  stringField(NAME, "a name of small letters, digits, hyphens");
const addressField = () => stringField(ADDRESS, "an IP number and a port");

const SECTION_SCHEMAS = {
  node: z.strictObject({
    instance: nameField(),
    service: nameField(),
    data_centre: nameField(),
    other_data_centres: listField(NAME, "names, the nearest first").default([]),
  }),
  listen: z.strictObject({
    data: addressField(),
    admin: addressField(),
    control: addressField(),
  }),
  backend: z.strictObject({ address: addressField() }),
  platform: z.strictObject({ address: addressField() }),
  trust: z.strictObject({
    keys: listField(PUBLIC_KEY, "public keys in base64").refine(
      (keys) => keys.length > 0,
      "at least one public key in base64",
    ),
    approvals_required: integerField(1, 16).default(1),
  }),
  peers: z.strictObject({
    seeds: listField(ADDRESS, "IP numbers with ports").default([]),
  }),
} as const;

type SectionName = keyof typeof SECTION_SCHEMAS;

/** Parses an address; the text has to match the ADDRESS pattern. */
export function parseAddress(text: string): Address {
  const colon = text.lastIndexOf(":");
  const host = text.slice(0, colon).replace(/^\[|\]$/g, "");
  return { host, port: Number(text.slice(colon + 1)) };
}

/** Formats an address as `IP:PORT`, with an IPv6 address in brackets. */
export function formatAddress({ host, port }: Address): string {
  return host.includes(":") ? `[${host}]:${port}` : `${host}:${port}`;
}

function parsePublicKeys(texts: readonly string[]): readonly PublicKey[] {
  return texts.flatMap((text) => parsePublicKey(text).unwrapOr([] as never));
}

/** Parses and validates settings; the error lists all faults. */
export function resolveSettings(
  text: string,
): Result<Settings, readonly Fault[]> {
  const { sections, faults } = parseSections(text);
  const allFaults: Fault[] = [...faults];
  for (const section of sections.keys()) {
    if (section in SECTION_SCHEMAS) continue;
    const expected = `one of ${Object.keys(SECTION_SCHEMAS).join(", ")}`;
    allFaults.push({ section, key: "(section)", expected });
  }

  function readSection<Name extends SectionName>(
    section: Name,
  ): z.output<(typeof SECTION_SCHEMAS)[Name]> | undefined {
    const entries = sections.get(section) ?? {};
    const checked = validateSection(SECTION_SCHEMAS[section], entries, {
      name: section,
    });
    allFaults.push(...checked.faults);
    return checked.value as
      | z.output<(typeof SECTION_SCHEMAS)[Name]>
      | undefined;
  }

  const node = readSection("node");
  const listen = readSection("listen");
  const backend = readSection("backend");
  const platform = readSection("platform");
  const trust = readSection("trust");
  const peers = readSection("peers");
  if (
    allFaults.length > 0 || !node || !listen || !backend || !platform ||
    !trust ||
    !peers
  ) {
    return err(allFaults);
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
      keys: parsePublicKeys(trust.keys),
      approvalsRequired: trust.approvals_required,
    },
    seeds: peers.seeds.map(parseAddress),
  });
}

/** Settings of a node on loopback, for demos, tests and benchmarks. */
export interface LoopbackSettings {
  readonly instance: string;
  readonly service: string;
  /** All data centres, the node's first. */
  readonly dataCentres: readonly string[];
  /** Ports of the data, admin and control listeners. */
  readonly ports: readonly number[];
  /** Address of the backend server. */
  readonly backend: string;
  /** Address of the platform. */
  readonly platform: string;
  /** Public key that the node trusts, in base64. */
  readonly key: string;
  /** Control addresses of seeds. */
  readonly seeds?: readonly string[];
}

/** Formats the settings file of a node on loopback. */
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
