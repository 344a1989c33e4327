/** Fetches newer versions of the bundles that a node uses, from its peers. */

import { FLEET_SCOPE } from "@coltsfootdeal/bundle";
import type { Clock, Timer } from "@coltsfootdeal/kernel";
import {
  compareVersions,
  type GossipState,
  type News,
} from "@coltsfootdeal/policy";
import type { BundleStore } from "./bundle_store.ts";
import type { ControlClient } from "./control_client.ts";
import { BUNDLE_TOPIC_PREFIX } from "./news.ts";
import type { Peers } from "./peers.ts";

/** Resolved configuration of a bundle sync. */
export interface BundleSyncConfig {
  /** Control address of this node. */
  readonly ownControlAddress: string;
  /** Service of this node's backend server. */
  readonly service: string;
  readonly clock: Clock;
  readonly store: BundleStore;
  readonly gossip: GossipState;
  readonly peers: Peers;
  readonly control: ControlClient;
}

/** Fetches newer bundles that this node uses and announces those in force. */
export interface BundleSync {
  /** Offers the text of a bundle to the store; false if it is not valid. */
  readonly offer: (text: string, from: string) => boolean;
  /**
   * Fetches an announced version if this node uses it and it is newer. `from`
   * is the node that delivered the announcement, which is asked first.
   */
  readonly fetchIfNewer: (news: News, from?: string) => void;
  /** Whether a newer version that this node uses is being fetched. */
  readonly isFetching: () => boolean;
  /** Adds a service to those whose bundles this node uses. */
  readonly addCalledService: (service: string) => void;
  readonly close: () => void;
}

/** Time after which the next source is asked beside one that is silent. */
const FETCH_HEDGE_DELAY_MS = 300;

function scopeOf({ topic }: News): string {
  return topic.slice(BUNDLE_TOPIC_PREFIX.length);
}

/** Creates a bundle sync. */
export function createBundleSync(config: BundleSyncConfig): BundleSync {
  const { ownControlAddress, store, gossip, peers, control } = config;
  const calledServices = new Set<string>();
  const rejectedDigests = new Set<string>();
  const fetchesInFlight = new Set<string>();
  let closed = false;

  /** Gossips the version in force, with this node as its source. */
  function announce(scope: string): void {
    const inForce = store.inForce(scope);
    if (inForce === undefined) return;
    const { version, digest } = inForce;
    const announcement = {
      topic: BUNDLE_TOPIC_PREFIX + scope,
      version,
      digest,
      source: ownControlAddress,
    };
    gossip.receive([announcement], config.clock.now());
  }

  function offer(text: string, from: string): boolean {
    const offered = store.offer(text, from);
    if (offered.isErr()) return false;
    const { version, verdict } = offered.value;
    if (verdict.kind !== "adopted") return true;
    announce(version.scope);
    // The new bundle may refer to services whose bundles were not used before.
    for (const known of gossip.topics(BUNDLE_TOPIC_PREFIX)) fetchIfNewer(known);
    return true;
  }

  /** Whether a scope is the fleet, the own service or a service called here. */
  function isUsed(scope: string): boolean {
    return scope === FLEET_SCOPE || scope === config.service ||
      calledServices.has(scope) ||
      store.catalog()?.service(scope) !== undefined;
  }

  function fetchIfNewer(news: News, from?: string): void {
    const scope = scopeOf(news);
    if (!isUsed(scope) || rejectedDigests.has(news.digest)) return;
    const inForce = store.inForce(scope);
    if (inForce && compareVersions(news, inForce) <= 0) return;
    fetchBundle(news, from);
  }

  async function fetchBundle(
    news: News,
    from: string | undefined,
  ): Promise<void> {
    const key = `${news.topic}@${news.digest}`;
    if (fetchesInFlight.has(key)) return;
    fetchesInFlight.add(key);
    try {
      // The source that the announcement names may be gone by now.
      const known = [from ?? [], news.source ?? [], ...peers.sample()].flat();
      const sources = [...new Set(known)].filter((source) =>
        source !== ownControlAddress
      );
      if (await fetchFromAny(sources, news)) return;
      // None of the sources has it. A later comparison delivers the
      // announcement again.
      restoreAnnouncement(news);
    } finally {
      fetchesInFlight.delete(key);
    }
  }

  /**
   * Asks the sources one after the other, without waiting long for one that
   * does not answer; true as soon as one of them was of use.
   */
  function fetchFromAny(
    sources: readonly string[],
    news: News,
  ): Promise<boolean> {
    return new Promise((resolve) => {
      let asked = 0;
      let unanswered = 0;
      let succeeded = false;
      let timer: Timer | undefined;

      function askNext(): void {
        timer?.close();
        const source = sources[asked];
        if (source === undefined || closed || succeeded) {
          if (unanswered === 0) resolve(succeeded);
          return;
        }
        asked++;
        unanswered++;
        timer = config.clock.after(FETCH_HEDGE_DELAY_MS, askNext);
        fetchFrom(source, news).then((wasUseful) => {
          unanswered--;
          succeeded ||= wasUseful;
          if (succeeded) resolve(true);
          askNext();
        });
      }

      askNext();
    });
  }

  /** Fetches a bundle from one node; false if another one should be asked. */
  async function fetchFrom(source: string, news: News): Promise<boolean> {
    const pulled = await control.pull(source, [news.topic]);
    const value = pulled.isOk() ? pulled.value[0]?.value : undefined;
    if (value === undefined) return false;
    if (!offer(value, `peer ${source}`)) {
      rejectedDigests.add(news.digest);
      restoreAnnouncement(news);
      return true;
    }
    return (store.inForce(scopeOf(news))?.version ?? 0) >= news.version;
  }

  /**
   * Replaces an announcement whose bundle could not be fetched or is invalid
   * with that of the version in force, so that this node does not pass it on.
   */
  function restoreAnnouncement(news: News): void {
    gossip.forget(news.topic);
    announce(scopeOf(news));
  }

  return {
    offer,
    fetchIfNewer,
    isFetching: () => fetchesInFlight.size > 0,
    addCalledService: (service) => calledServices.add(service),
    close: () => {
      closed = true;
    },
  };
}
