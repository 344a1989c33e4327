/** The two deployments of the brief as workloads: services, trees, mixes. */

import { readFileSync } from "node:fs";
import {
  type CallKind,
  type Catalog,
  createCatalog,
  parseBundle,
} from "@coltsfootdeal/bundle";

/** A call and the calls that it makes further down, one after the other. */
export interface CallTree {
  readonly service: string;
  readonly kind: CallKind;
  /** 0 for the request itself, 1 for its call further down, and so on. */
  readonly depth: number;
  readonly children: readonly CallTree[];
}

/** A kind of request as callers send it. */
export interface RootKind {
  readonly name: string;
  readonly tree: CallTree;
  /** Share of all requests. */
  readonly share: number;
  /** Number of different callers. */
  readonly callers: number;
}

/** A service of a workload. */
export interface WorkloadService {
  readonly name: string;
  readonly upstreams: number;
  readonly slots: number;
  /** Connections that a backend server accepts. */
  readonly connections: number;
  readonly serviceMs: number;
  readonly cancellable: boolean;
}

/** A deployment. */
export interface Workload {
  readonly name: string;
  readonly catalog: Catalog;
  readonly dataCentres: readonly string[];
  /** One-way latency between data centres. */
  readonly remoteLatencyMs: number;
  readonly services: readonly WorkloadService[];
  readonly roots: readonly RootKind[];
  /** The least and the most urgent kind, for floods. */
  readonly lowFlood: string;
  readonly urgentFlood: string;
  /** Service at the end of the five deep chain. */
  readonly deepService: string;
}

interface ServicePlan {
  readonly upstreams: number;
  readonly serviceMs: number;
}

interface RootPlan {
  readonly chain: readonly string[];
  readonly share: number;
  readonly callers: number;
}

interface Plan {
  readonly name: string;
  readonly dataCentres: readonly string[];
  readonly remoteLatencyMs: number;
  readonly services: Readonly<Record<string, ServicePlan>>;
  readonly roots: readonly RootPlan[];
  readonly lowFlood: string;
  readonly urgentFlood: string;
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
  const [head = "", ...rest] = chain;
  const [service = "", name = ""] = head.split("/");
  const kind = catalog.kind(service, name);
  if (kind === undefined) throw new Error(`no kind ${head} in the bundle`);
  const children = rest.length > 0 ? [buildTree(catalog, rest, depth + 1)] : [];
  return { service, kind, depth, children };
}

function resolveWorkload(plan: Plan): Workload {
  const catalog = readCatalog(plan.name);
  const services = catalog.services().map((service) => ({
    name: service.name,
    slots: service.slots,
    connections: service.connections,
    cancellable: service.cancellation === "close",
    upstreams: plan.services[service.name]?.upstreams ?? 1,
    serviceMs: plan.services[service.name]?.serviceMs ?? 100,
  }));
  const total = plan.roots.reduce((sum, root) => sum + root.share, 0);
  const roots = plan.roots.map(({ chain, share, callers }) => {
    const tree = buildTree(catalog, chain);
    return {
      name: chain[0] ?? "",
      tree,
      share: share / total,
      callers,
    };
  });
  const deepest = plan.roots.find(({ chain }) => chain.length >= 5)?.chain;
  const deepService = deepest?.at(-1)?.split("/")[0] ?? "";
  return { ...plan, catalog, services, roots, deepService };
}

/** Selo Verde: three data centres in pt-centro. */
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
    lowFlood: "portal-produtor/browse",
    urgentFlood: "selos/seal-check",
  });
}

/** Malabar: three data centres in kochi. */
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
    lowFlood: "billing/folio-history",
    urgentFlood: "billing/folio-charge",
  });
}

/** Depth of the chains of a deepened workload. */
const DEEP = 10;
/** Service time in a deepened workload, in ms. */
const DEEP_SERVICE_MS = 5;

/** The same services with one kind of request only, ten calls deep. */
export function deepen(workload: Workload): Workload {
  const root = workload.roots.find(({ tree }) => tree.children.length > 0);
  if (root === undefined) return workload;
  const links: CallTree[] = [];
  for (
    let call: CallTree | undefined = root.tree;
    call;
    [call] = call.children
  ) {
    links.push(call);
  }
  let tree: CallTree | undefined;
  for (let depth = DEEP - 1; depth >= 0; depth--) {
    const link = links[depth % links.length] ?? root.tree;
    tree = { ...link, depth, children: tree === undefined ? [] : [tree] };
  }
  const services = workload.services.map((service) => ({
    ...service,
    serviceMs: DEEP_SERVICE_MS,
  }));
  // A hundredth of what the slots could take: the chain alone is of interest.
  const roots = [{ ...root, tree: tree ?? root.tree, share: 0.01 }];
  return { ...workload, services, roots };
}

/** The workload with the given name. */
export function findWorkload(name: string): Workload | undefined {
  return [createSeloVerde(), createMalabar()].find((w) => w.name === name);
}
