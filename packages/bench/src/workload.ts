/**
 * Workloads: services, call trees and request mixes of the two deployments in
 * `playground`. Slots, connections and kinds come from their bundles.
 */

import { readFileSync } from "node:fs";
import {
  type CallKind,
  type Catalog,
  createCatalog,
  parseBundle,
} from "@coltsfootdeal/bundle";

/** A call and its nested calls, which it makes one after the other. */
export interface CallTree {
  readonly service: string;
  readonly kind: CallKind;
  /** 0 for the caller's request, 1 for its nested calls, and so on. */
  readonly depth: number;
  readonly children: readonly CallTree[];
}

/** A kind of request that callers send. */
export interface RootKind {
  /** `service/kind` of the first call. */
  readonly name: string;
  readonly tree: CallTree;
  /** Share of all requests, 0 to 1. */
  readonly share: number;
  /** Number of different callers. */
  readonly callers: number;
}

/** A service of a workload. */
export interface WorkloadService {
  readonly name: string;
  /** Number of instances. */
  readonly upstreams: number;
  /** Slots of one instance. */
  readonly slots: number;
  /** Connections that the backend server of an instance accepts. */
  readonly connections: number;
  /** Mean service time, without nested calls. */
  readonly serviceMs: number;
  /** Whether its backend server stops a run when the connection closes. */
  readonly cancellable: boolean;
}

/** Services of a deployment and the requests that callers send to it. */
export interface Workload {
  readonly name: string;
  readonly catalog: Catalog;
  readonly dataCentres: readonly string[];
  /** One-way latency between data centres. */
  readonly remoteLatencyMs: number;
  readonly services: readonly WorkloadService[];
  readonly roots: readonly RootKind[];
  /** Root kind of the scenario `flood-low`: one of the lowest rank. */
  readonly lowFloodKind: string;
  /** Root kind of the scenario `flood-urgent`: a protected one. */
  readonly urgentFloodKind: string;
  /** Service of the last call of the chain of five calls. */
  readonly deepService: string;
}

/** What a bundle does not tell about a service. */
interface ServiceSpec {
  readonly upstreams: number;
  readonly serviceMs: number;
}

/** A root kind as a chain of calls, each nested in the one before. */
interface RootSpec {
  /** `service/kind` of every call, the request first. */
  readonly chain: readonly string[];
  /** Relative to the other kinds. */
  readonly share: number;
  readonly callers: number;
}

interface WorkloadSpec {
  readonly name: string;
  readonly dataCentres: readonly string[];
  readonly remoteLatencyMs: number;
  readonly services: Readonly<Record<string, ServiceSpec>>;
  readonly roots: readonly RootSpec[];
  readonly lowFloodKind: string;
  readonly urgentFloodKind: string;
}

function readCatalog(name: string): Catalog {
  const url = new URL(
    `../../../playground/${name}/bundle.ini`,
    import.meta.url,
  );
  return createCatalog([
    parseBundle(readFileSync(url, "utf8"))._unsafeUnwrap(),
  ]);
}

function buildTree(
  catalog: Catalog,
  chain: readonly string[],
  depth = 0,
): CallTree {
  const [first = "", ...rest] = chain;
  const [service = "", name = ""] = first.split("/");
  const kind = catalog.kind(service, name);
  if (kind === undefined) throw new Error(`no kind ${first} in the bundle`);
  const children = rest.length > 0 ? [buildTree(catalog, rest, depth + 1)] : [];
  return { service, kind, depth, children };
}

function resolveWorkload(spec: WorkloadSpec): Workload {
  const catalog = readCatalog(spec.name);
  const services = catalog.services().map((service) => ({
    name: service.name,
    slots: service.slots,
    connections: service.connections,
    cancellable: service.cancellation === "close",
    upstreams: spec.services[service.name]?.upstreams ?? 1,
    serviceMs: spec.services[service.name]?.serviceMs ?? 100,
  }));
  const total = spec.roots.reduce((sum, root) => sum + root.share, 0);
  const roots = spec.roots.map(({ chain, share, callers }) => {
    const tree = buildTree(catalog, chain);
    return {
      name: chain[0] ?? "",
      tree,
      share: share / total,
      callers,
    };
  });
  const deepest = spec.roots.find(({ chain }) => chain.length >= 5)?.chain;
  const deepService = deepest?.at(-1)?.split("/")[0] ?? "";
  return { ...spec, catalog, services, roots, deepService };
}

/** Workload of the deployment Selo Verde with its three data centres. */
export function createSeloVerde(): Workload {
  return resolveWorkload({
    name: "selo-verde",
    dataCentres: ["pt-centro-1", "pt-centro-2", "pt-centro-3"],
    remoteLatencyMs: 1.5,
    services: {
      "portal-produtor": { upstreams: 4, serviceMs: 200 },
      relatorios: { upstreams: 4, serviceMs: 160 },
      comite: { upstreams: 3, serviceMs: 240 },
      selos: { upstreams: 3, serviceMs: 40 },
    },
    roots: [
      { chain: ["comite/sanction"], share: 2, callers: 20 },
      { chain: ["comite/decision"], share: 4, callers: 20 },
      { chain: ["selos/seal-check"], share: 12, callers: 200 },
      { chain: ["relatorios/report-filing"], share: 10, callers: 100 },
      { chain: ["relatorios/report-lookup"], share: 14, callers: 300 },
      {
        chain: [
          "portal-produtor/certificate-status",
          "relatorios/report-lookup",
          "comite/docket-lookup",
          "relatorios/report-lookup",
          "selos/seal-history",
        ],
        share: 8,
        callers: 300,
      },
      { chain: ["portal-produtor/browse"], share: 50, callers: 500 },
    ],
    lowFloodKind: "portal-produtor/browse",
    urgentFloodKind: "selos/seal-check",
  });
}

/** Workload of the deployment Malabar with its three data centres. */
export function createMalabar(): Workload {
  return resolveWorkload({
    name: "malabar",
    dataCentres: ["kochi-1", "kochi-2", "kochi-3"],
    remoteLatencyMs: 1,
    services: {
      parlist: { upstreams: 4, serviceMs: 160 },
      inventory: { upstreams: 4, serviceMs: 120 },
      billing: { upstreams: 3, serviceMs: 240 },
      roomdesk: { upstreams: 3, serviceMs: 80 },
    },
    roots: [
      { chain: ["billing/folio-charge"], share: 8, callers: 200 },
      {
        chain: [
          "parlist/par-check",
          "inventory/stock-lookup",
          "parlist/pending-consumption",
          "inventory/stock-lookup",
          "roomdesk/room-status",
        ],
        share: 8,
        callers: 300,
      },
      { chain: ["parlist/pending-consumption"], share: 25, callers: 300 },
      { chain: ["inventory/restock-order"], share: 8, callers: 200 },
      { chain: ["inventory/stock-lookup"], share: 15, callers: 300 },
      { chain: ["roomdesk/room-status"], share: 16, callers: 300 },
      { chain: ["billing/folio-history"], share: 20, callers: 100 },
    ],
    lowFloodKind: "billing/folio-history",
    urgentFloodKind: "billing/folio-charge",
  });
}

/** Number of calls in the chain of a deep chain workload. */
const DEEP_CHAIN_CALLS = 10;
/** Mean service time in a deep chain workload. */
const DEEP_CHAIN_SERVICE_MS = 5;

/**
 * Derives a workload with a single root kind and a chain of ten calls. There
 * are no other root kinds, since only the chain is of interest. Returns the
 * workload unchanged if none of its root kinds makes nested calls.
 */
export function createDeepChainWorkload(workload: Workload): Workload {
  const root = workload.roots.find(({ tree }) => tree.children.length > 0);
  if (root === undefined) return workload;
  const chainCalls: CallTree[] = [];
  for (
    let call: CallTree | undefined = root.tree;
    call;
    [call] = call.children
  ) {
    chainCalls.push(call);
  }
  let tree: CallTree | undefined;
  for (let depth = DEEP_CHAIN_CALLS - 1; depth >= 0; depth--) {
    const callAtDepth = chainCalls[depth % chainCalls.length] ?? root.tree;
    tree = {
      ...callAtDepth,
      depth,
      children: tree === undefined ? [] : [tree],
    };
  }
  const services = workload.services.map((service) => ({
    ...service,
    serviceMs: DEEP_CHAIN_SERVICE_MS,
  }));
  // The only root kind gets NORMAL_LOAD_SHARE of the capacity whatever its
  // share, since the share cancels out in the saturation rate.
  const roots = [{ ...root, tree: tree ?? root.tree, share: 0.01 }];
  return { ...workload, services, roots };
}

/** The workload with the given name, if there is one. */
export function findWorkload(name: string): Workload | undefined {
  return [createSeloVerde(), createMalabar()].find((w) => w.name === name);
}
