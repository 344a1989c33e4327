/** Lookup of accounts, services, kinds and routes in the active bundles. */

import { createHash, timingSafeEqual } from "node:crypto";
import { Buffer } from "node:buffer";
import { resolveLevel } from "@coltsfootdeal/policy";
import type {
  Account,
  Bundle,
  CallerLimits,
  CallKind,
  Route,
  Service,
} from "./bundle.ts";
import { FLEET_SCOPE } from "./constants.ts";

/** An index of the active bundles. */
export interface Catalog {
  readonly account: (name: string) => Account | undefined;
  readonly service: (name: string) => Service | undefined;
  readonly kind: (service: string, name: string) => CallKind | undefined;
  readonly kindsOf: (service: string) => readonly CallKind[];
  readonly services: () => readonly Service[];
  /** The route of the host with the longest prefix that matches the path. */
  readonly route: (host: string, path: string) => Route | undefined;
  readonly callerLimits: () => CallerLimits | undefined;
}

/** Inputs of a kind's priority level that the kind itself does not hold. */
export interface LevelContext {
  readonly catalog: Catalog;
  /** Average time that a run holds a slot, in ms; 0 if unknown. */
  readonly slotMs: number;
  /**
   * Worth of the caller's request that the call belongs to: a nested call has
   * the worth of the request at the root.
   * @default the weight of the kind
   */
  readonly weight?: number;
}

/** Returns the priority level of calls of a kind. */
export function resolveKindLevel(
  kind: CallKind,
  context: LevelContext,
): number {
  const { catalog, slotMs } = context;
  const order = catalog.service(kind.service)?.order ?? "rank";
  const weight = context.weight ?? kind.weight;
  const { rank, protected: isProtected } = kind;
  return resolveLevel({ rank, protected: isProtected, weight, order, slotMs });
}

/**
 * Whether the account lists the caller and, if it has a token, whether the
 * caller presents it. Tokens are compared in constant time.
 */
export function admitsCaller(
  account: Account,
  caller: { readonly name: string; readonly token: string },
): boolean {
  const nameMatches = account.callers.some((pattern) =>
    pattern.endsWith("*")
      ? caller.name.startsWith(pattern.slice(0, -1))
      : caller.name === pattern
  );
  if (!nameMatches || account.tokenSha256 === undefined) return nameMatches;
  const tokenDigest = createHash("sha256").update(caller.token).digest();
  return timingSafeEqual(tokenDigest, Buffer.from(account.tokenSha256, "hex"));
}

/**
 * Creates the index. A bundle of a service overrides the service and its kinds
 * in the fleet's bundle, so fleet bundles are read first. The routes of all
 * bundles are combined.
 */
export function createCatalog(bundles: readonly Bundle[]): Catalog {
  const fleetFirst = [...bundles].sort((a, b) =>
    Number(b.scope === FLEET_SCOPE) - Number(a.scope === FLEET_SCOPE)
  );
  const accounts = new Map<string, Account>();
  const services = new Map<string, Service>();
  const kinds = new Map<string, Map<string, CallKind>>();
  const routes = new Map<string, Route[]>();
  let callerLimits: CallerLimits | undefined;
  for (const bundle of fleetFirst) {
    for (const account of bundle.accounts) accounts.set(account.name, account);
    for (const service of bundle.services) {
      services.set(service.name, service);
      kinds.set(service.name, new Map());
    }
    for (const route of bundle.routes ?? []) {
      const hostRoutes = routes.get(route.host) ?? [];
      routes.set(route.host, [...hostRoutes, route]);
    }
    callerLimits = bundle.callerLimits ?? callerLimits;
    for (const kind of bundle.kinds) {
      kinds.get(kind.service)?.set(kind.name, kind);
    }
  }
  for (const hostRoutes of routes.values()) {
    hostRoutes.sort((a, b) => b.prefix.length - a.prefix.length);
  }
  return {
    account: (name) => accounts.get(name),
    service: (name) => services.get(name),
    kind: (service, name) => kinds.get(service)?.get(name),
    kindsOf: (service) => [...(kinds.get(service)?.values() ?? [])],
    services: () => [...services.values()],
    route: (host, path) =>
      routes.get(host)?.find(({ prefix }) => path.startsWith(prefix)),
    callerLimits: () => callerLimits,
  };
}
