/** Keeps the bundles that a node uses up to date, from news of them. */

import { FLEET_SCOPE } from "@coltsfootdeal/bundle";
import type { Clock } from "@coltsfootdeal/kernel";
import {
  compareVersions,
  type GossipState,
  type News,
} from "@coltsfootdeal/policy";
import type { BundleStore } from "./bundle_store.ts";
import type { ControlClient } from "./control_client.ts";
import { BUNDLE } from "./news.ts";
import type { Peers } from "./peers.ts";

/** Resolved configuration. */
export interface BundleSyncConfig {
  /** Control address of this node. */
  readonly self: string;
  /** Service whose backend server is beside this node. */
  readonly service: string;
  readonly clock: Clock;
  readonly store: BundleStore;
  readonly spread: GossipState;
  readonly peers: Peers;
  readonly control: ControlClient;
  /** Whether the peers learn of bundles from where this node does. */
  readonly quiet: boolean;
}

/** Fetches what is newer and used, and announces what is in force. */
export interface BundleSync {
  /** Verifies an envelope; false if it is not valid. */
  readonly offer: (text: string, from: string) => boolean;
  /** Fetches an announced version if it is newer and used here. */
  readonly consider: (news: News) => void;
  /** Counts a service among those that this node calls. */
  readonly addCalled: (service: string) => void;
  readonly close: () => void;
}

function scopeOf({ topic }: News): string {
  return topic.slice(BUNDLE.length);
}

/** Creates a sync that has fetched nothing. */
export function createBundleSync(config: BundleSyncConfig): BundleSync {
  const { self, store, spread, peers, control } = config;
  const called = new Set<string>();
  const rejected = new Set<string>();
  const pulling = new Set<string>();
  let closed = false;

  /** Announces the version in force, with this node as its source. */
  function announce(scope: string): void {
    const inForce = store.inForce(scope);
    if (inForce === undefined) return;
    const { version, digest } = inForce;
    const head = { topic: BUNDLE + scope, version, digest, source: self };
    const { quiet } = config;
    spread.receive([head], config.clock.now(), { comparisonOnly: quiet });
  }

  function offer(text: string, from: string): boolean {
    const offered = store.offer(text, from);
    if (offered.isErr()) return false;
    const { version, verdict } = offered.value;
    if (verdict.kind !== "adopted") return true;
    announce(version.scope);
    // Another scope may be used now that was not before.
    for (const head of spread.topics(BUNDLE)) consider(head);
    return true;
  }

  /** Fleet, own service, and services that this node calls. */
  function isUsed(scope: string): boolean {
    return scope === FLEET_SCOPE || scope === config.service ||
      called.has(scope) || store.catalog()?.service(scope) !== undefined;
  }

  function consider(news: News): void {
    const scope = scopeOf(news);
    if (!isUsed(scope) || rejected.has(news.digest)) return;
    const inForce = store.inForce(scope);
    if (inForce && compareVersions(news, inForce) <= 0) return;
    pull(news);
  }

  async function pull(news: News): Promise<void> {
    const key = `${news.topic}@${news.digest}`;
    if (pulling.has(key)) return;
    pulling.add(key);
    try {
      const sources = [news.source, ...peers.draw()];
      for (const source of sources) {
        if (source === undefined || source === self || closed) continue;
        if (await pullFrom(source, news)) return;
      }
      // Nobody had it: the next comparison brings it up again.
      restoreHead(news);
    } finally {
      pulling.delete(key);
    }
  }

  async function pullFrom(source: string, news: News): Promise<boolean> {
    const pulled = await control.pull(source, [news.topic]);
    const value = pulled.isOk() ? pulled.value[0]?.value : undefined;
    if (value === undefined) return false;
    if (!offer(value, `peer ${source}`)) {
      rejected.add(news.digest);
      restoreHead(news);
      return true;
    }
    return (store.inForce(scopeOf(news))?.version ?? 0) >= news.version;
  }

  /** Announced versions count only once they have been verified. */
  function restoreHead(news: News): void {
    spread.forget(news.topic);
    announce(scopeOf(news));
  }

  return {
    offer,
    consider,
    addCalled: (service) => called.add(service),
    close: () => {
      closed = true;
    },
  };
}
