/** The two deployments of the playground, as their owners describe them. */

import { readFileSync } from "node:fs";

/** A kind of work as callers send it. */
export interface DemoKind {
  readonly service: string;
  readonly kind: string;
  readonly caller: string;
  readonly once: boolean;
  readonly protected: boolean;
  readonly deadlineMs: number;
}

/** A service and its backend servers. */
export interface DemoService {
  readonly name: string;
  readonly upstreams: number;
  readonly children: Readonly<
    Record<string, readonly { readonly service: string; kind: string }[]>
  >;
}

/** A deployment. */
export interface Deployment {
  readonly name: string;
  readonly account: string;
  readonly dataCentres: readonly string[];
  readonly services: readonly DemoService[];
  readonly kinds: readonly DemoKind[];
  /** The kind that floods in. */
  readonly flood: DemoKind;
  readonly bundle: string;
}

function readBundle(name: string): string {
  return readFileSync(
    new URL(`../${name}/bundle.ini`, import.meta.url),
    "utf8",
  );
}

function kind(
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
  const browse = kind("portal-produtor/browse", "grower");
  return {
    name: "selo-verde",
    account: "selo-verde",
    dataCentres: ["pt-centro-1", "pt-centro-2", "pt-centro-3"],
    services: [
      {
        name: "portal-produtor",
        upstreams: 4,
        children: {
          "certificate-status": [
            { service: "relatorios", kind: "report-lookup" },
          ],
        },
      },
      {
        name: "relatorios",
        upstreams: 4,
        children: {
          "report-lookup": [{ service: "selos", kind: "seal-history" }],
        },
      },
      { name: "comite", upstreams: 3, children: {} },
      { name: "selos", upstreams: 3, children: {} },
    ],
    kinds: [
      kind("comite/sanction", "committee", { once: true, protected: true }),
      kind("comite/decision", "committee", { once: true }),
      kind("selos/seal-check", "buyer", { protected: true }),
      kind("relatorios/report-filing", "inspector", { once: true }),
      kind("relatorios/report-lookup", "grower"),
      kind("portal-produtor/certificate-status", "grower"),
      browse,
    ],
    flood: browse,
    bundle: readBundle("selo-verde"),
  };
}

/** Malabar: three data centres in kochi. */
export function createMalabar(): Deployment {
  const history = kind("billing/folio-history", "frontdesk");
  return {
    name: "malabar",
    account: "malabar",
    dataCentres: ["kochi-1", "kochi-2", "kochi-3"],
    services: [
      {
        name: "parlist",
        upstreams: 4,
        children: {
          "par-check": [{ service: "inventory", kind: "stock-lookup" }],
        },
      },
      { name: "inventory", upstreams: 4, children: {} },
      { name: "billing", upstreams: 3, children: {} },
      { name: "roomdesk", upstreams: 3, children: {} },
    ],
    kinds: [
      kind("billing/folio-charge", "runner", { once: true, protected: true }),
      kind("parlist/par-check", "runner"),
      kind("parlist/pending-consumption", "runner"),
      kind("inventory/restock-order", "runner", { once: true }),
      kind("inventory/stock-lookup", "runner"),
      kind("roomdesk/room-status", "runner"),
      history,
    ],
    flood: history,
    bundle: readBundle("malabar"),
  };
}
