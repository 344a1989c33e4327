/** Look-ups in the bundles in force. */

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

/** The bundles in force, ready for look-ups. */
export interface Catalog {
  readonly account: (name: string) => Account | undefined;
  readonly service: (name: string) => Service | undefined;
  readonly kind: (service: string, name: string) => CallKind | undefined;
  readonly kindsOf: (service: string) => readonly CallKind[];
  readonly services: () => readonly Service[];
  /** The route with the longest prefix of the path. */
  readonly route: (host: string, path: string) => Route | undefined;
  readonly callerLimits: () => CallerLimits | undefined;
}

/** What a kind's level depends on beside the kind. */
export interface LevelContext {
  readonly catalog: Catalog;
  /** Slot time of a run in ms; 0 while it is not known. */
  readonly slotMs: number;
  /** Worth of the request that the call is part of, if it is not its own. */
  readonly weight?: number;
}

/** The level of a kind's calls. */
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

/** Whether the account admits the caller and the token. */
export function admitsCaller(
  account: Account,
  caller: { readonly name: string; readonly token: string },
): boolean {
  const named = account.callers.some((pattern) =>
    pattern.endsWith("*")
      ? caller.name.startsWith(pattern.slice(0, -1))
      : caller.name === pattern
  );
  if (!named || account.tokenSha256 === undefined) return named;
  const given = createHash("sha256").update(caller.token).digest();
  return timingSafeEqual(given, Buffer.from(account.tokenSha256, "hex"));
}

/** Builds look-ups; a service's own bundle goes before the fleet's. */
export function createCatalog(bundles: readonly Bundle[]): Catalog {
  const ordered = [...bundles].sort((a, b) =>
    Number(b.scope === FLEET_SCOPE) - Number(a.scope === FLEET_SCOPE)
  );
  const accounts = new Map<string, Account>();
  const services = new Map<string, Service>();
  const kinds = new Map<string, Map<string, CallKind>>();
  const routes = new Map<string, Route[]>();
  let callerLimits: CallerLimits | undefined;
  for (const bundle of ordered) {
    for (const account of bundle.accounts) accounts.set(account.name, account);
    for (const service of bundle.services) {
      services.set(service.name, service);
      kinds.set(service.name, new Map());
    }
    for (const route of bundle.routes ?? []) {
      const ofHost = routes.get(route.host) ?? [];
      routes.set(route.host, [...ofHost, route]);
    }
    callerLimits = bundle.callerLimits ?? callerLimits;
    for (const kind of bundle.kinds) {
      kinds.get(kind.service)?.set(kind.name, kind);
    }
  }
  for (const ofHost of routes.values()) {
    ofHost.sort((a, b) => b.prefix.length - a.prefix.length);
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
