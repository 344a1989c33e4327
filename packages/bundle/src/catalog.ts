/** Look-ups in the bundles in force. */

import { createHash, timingSafeEqual } from "node:crypto";
import { Buffer } from "node:buffer";
import { PROTECTED_LEVEL } from "@coltsfootdeal/policy";
import type { Account, Bundle, Kind, Service } from "./bundle.ts";
import { FLEET_SCOPE } from "./constants.ts";

/** The bundles in force, ready for look-ups. */
export interface Catalog {
  readonly account: (name: string) => Account | undefined;
  readonly service: (name: string) => Service | undefined;
  readonly kind: (service: string, name: string) => Kind | undefined;
  readonly kindsOf: (service: string) => readonly Kind[];
  readonly services: () => readonly Service[];
}

/** Importance of a kind: its rank, above all others if it is protected. */
export function levelOf(kind: Kind): number {
  return kind.protected ? PROTECTED_LEVEL + kind.rank : kind.rank;
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
  const kinds = new Map<string, Map<string, Kind>>();
  for (const bundle of ordered) {
    for (const account of bundle.accounts) accounts.set(account.name, account);
    for (const service of bundle.services) {
      services.set(service.name, service);
      kinds.set(service.name, new Map());
    }
    for (const kind of bundle.kinds) {
      kinds.get(kind.service)?.set(kind.name, kind);
    }
  }
  return {
    account: (name) => accounts.get(name),
    service: (name) => services.get(name),
    kind: (service, name) => kinds.get(service)?.get(name),
    kindsOf: (service) => [...(kinds.get(service)?.values() ?? [])],
    services: () => [...services.values()],
  };
}
