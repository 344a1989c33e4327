/** The two example deployments: their services, kinds of calls and bundles. */

import { readFileSync } from "node:fs";

/** A kind of calls and the callers that send it. */
export interface DemoKind {
  readonly service: string;
  readonly kind: string;
  /** Name prefix of the callers. */
  readonly caller: string;
  /** Whether a call must not run more than once. */
  readonly once: boolean;
  /** Whether the bundle protects the kind from refusal under overload. */
  readonly protected: boolean;
  readonly deadlineMs: number;
}

/** A service and the nested calls that its runs make. */
export interface DemoService {
  readonly name: string;
  /** Number of backend servers. */
  readonly upstreams: number;
  /** Nested calls, by the kind of the call whose run makes them. */
  readonly nestedCalls: Readonly<
    Record<string, readonly { readonly service: string; kind: string }[]>
  >;
}

/** An example deployment. */
export interface Deployment {
  readonly name: string;
  readonly account: string;
  readonly dataCentres: readonly string[];
  readonly services: readonly DemoService[];
  /** Kinds that callers send; those that only services call are left out. */
  readonly kinds: readonly DemoKind[];
  /** The kind that the demo sends in excess of the capacity. */
  readonly flood: DemoKind;
  /** Text of the deployment's bundle.ini. */
  readonly bundle: string;
}

function readBundle(name: string): string {
  return readFileSync(
    new URL(`../${name}/bundle.ini`, import.meta.url),
    "utf8",
  );
}

function createKind(
  path: string,
  caller: string,
  options: { readonly once?: boolean; readonly protected?: boolean } = {},
): DemoKind {
  const [service = "", name = ""] = path.split("/");
  return {
    service,
    kind: name,
    caller,
    once: options.once ?? false,
    protected: options.protected ?? false,
    deadlineMs: options.once ? 3_000 : 1_500,
  };
}

/** Selo Verde: three data centres in pt-centro. */
export function createSeloVerde(): Deployment {
  const browse = createKind("portal-produtor/browse", "grower");
  return {
    name: "selo-verde",
    account: "selo-verde",
    dataCentres: ["pt-centro-1", "pt-centro-2", "pt-centro-3"],
    services: [
      {
        name: "portal-produtor",
        upstreams: 4,
        nestedCalls: {
          "certificate-status": [
            { service: "relatorios", kind: "report-lookup" },
          ],
        },
      },
      {
        name: "relatorios",
        upstreams: 4,
        nestedCalls: {
          "report-lookup": [{ service: "selos", kind: "seal-history" }],
        },
      },
      { name: "comite", upstreams: 3, nestedCalls: {} },
      { name: "selos", upstreams: 3, nestedCalls: {} },
    ],
    kinds: [
      createKind("comite/sanction", "committee", {
        once: true,
        protected: true,
      }),
      createKind("comite/decision", "committee", { once: true }),
      createKind("selos/seal-check", "buyer", { protected: true }),
      createKind("relatorios/report-filing", "inspector", { once: true }),
      createKind("relatorios/report-lookup", "grower"),
      createKind("portal-produtor/certificate-status", "grower"),
      browse,
    ],
    flood: browse,
    bundle: readBundle("selo-verde"),
  };
}

/** Malabar: three data centres in kochi. */
export function createMalabar(): Deployment {
  const history = createKind("billing/folio-history", "frontdesk");
  return {
    name: "malabar",
    account: "malabar",
    dataCentres: ["kochi-1", "kochi-2", "kochi-3"],
    services: [
      {
        name: "parlist",
        upstreams: 4,
        nestedCalls: {
          "par-check": [{ service: "inventory", kind: "stock-lookup" }],
        },
      },
      { name: "inventory", upstreams: 4, nestedCalls: {} },
      { name: "billing", upstreams: 3, nestedCalls: {} },
      { name: "roomdesk", upstreams: 3, nestedCalls: {} },
    ],
    kinds: [
      createKind("billing/folio-charge", "runner", {
        once: true,
        protected: true,
      }),
      createKind("parlist/par-check", "runner"),
      createKind("parlist/pending-consumption", "runner"),
      createKind("inventory/restock-order", "runner", { once: true }),
      createKind("inventory/stock-lookup", "runner"),
      createKind("roomdesk/room-status", "runner"),
      history,
    ],
    flood: history,
    bundle: readBundle("malabar"),
  };
}
