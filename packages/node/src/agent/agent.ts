/**
 * The agent: reads bundles and the instance list from the platform and
 * distributes them between nodes by gossip, together with facts that instances
 * report about themselves and the deaths of backend servers.
 */

import { FLEET_SCOPE } from "@coltsfootdeal/bundle";
import type { Clock } from "@coltsfootdeal/kernel";
import {
  ANTI_ENTROPY_PERIOD_MS,
  BOOTSTRAP_JITTER_MS,
  createGossipState,
  createMembership,
  createReaderSelection,
  type Death,
  drawIndex,
  GOSSIP_PUSH_PERIOD_MS,
  type InstanceFact,
  type ListedInstance,
  type Membership,
  type News,
  READER_ANTI_ENTROPY_PERIOD_MS,
  type Router,
  SUSPECT_TTL_MS,
  type Suspects,
} from "@coltsfootdeal/policy";
import type { Audit } from "../admin/audit.ts";
import { READER_CHECK_PERIOD_MS } from "../constants.ts";
import { formatAddress, type NodeSettings } from "../settings.ts";
import type { BundleStore } from "./bundle_store.ts";
import { createBundleSync } from "./bundle_sync.ts";
import type { ControlHandler, Identity, PulledValue } from "./control_api.ts";
import type { ControlClient } from "./control_client.ts";
import {
  BUNDLE_TOPIC_PREFIX,
  createDeathNews,
  createFactNews,
  DEATH_TOPIC_PREFIX,
  FACT_TOPIC_PREFIX,
  INSTANCE_TOPIC_PREFIX,
  parseNewsValue,
  requiresPush,
  shortDigest,
} from "./news.ts";
import { createPeers } from "./peers.ts";
import type {
  Feed,
  FeedSinks,
  PlatformInstance,
  PlatformValue,
} from "./feed.ts";

/** Resolved configuration of an agent. */
export interface AgentConfig {
  readonly settings: NodeSettings;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly audit: Audit;
  readonly store: BundleStore;
  readonly router: Router;
  readonly suspects: Suspects;
  readonly createFeed: (sinks: FeedSinks) => Feed;
  /**
   * Called with the instance list's entry at this node's address, if the
   * settings take the backend server from the list; with the state `gone` when
   * the address has passed to another service.
   */
  readonly onOwnInstance: (instance: ListedInstance) => void;
  readonly control: ControlClient;
}

/** State of the agent, as the page `/status` shows it. */
export interface AgentStatus {
  /** Whether this node reads the platform. */
  readonly reader: boolean;
  /** Whether the platform answers; undefined if this node does not read it. */
  readonly platformReachable: boolean | undefined;
  readonly instances: number;
  /** Number of topics in the gossip state. */
  readonly topics: number;
}

/** The agent of one node. */
export interface Agent {
  /** Serves the control messages of other nodes. */
  readonly controlHandler: ControlHandler;
  readonly membership: Membership;
  readonly start: () => void;
  /** Records the state that an instance reports in a reply. */
  readonly recordInstanceFact: (fact: InstanceFact) => void;
  /**
   * Handles the `bundleAnnouncement` of another node, which its calls carry.
   * Malformed announcements are ignored.
   */
  readonly receiveBundleAnnouncement: (text: string) => void;
  /**
   * Fetches the bundle of a service; false if none is announced or one is in
   * force already.
   */
  readonly requestBundle: (service: string) => boolean;
  /**
   * The fleet bundle in force, as `version:digest@address`, where `address` is
   * the control address of this node. Empty if there is none.
   */
  readonly bundleAnnouncement: () => string;
  /** Records the death of the backend server and pushes it to peers at once. */
  readonly announceDeath: (death: Death) => void;
  /**
   * Tells peers that this instance is leaving; resolves when they have
   * replied or timed out.
   */
  readonly announceLeaving: () => Promise<void>;
  /** Id of this instance in the instance list. */
  readonly listedId: () => string;
  readonly status: () => AgentStatus;
  readonly close: () => void;
}

/**
 * Largest number of news items that a node pushes after a comparison; later
 * comparisons cover the rest.
 */
const COMPARE_PUSH_NEWS_MAX = 1_024;
/** Wait between two rounds of requests to seeds. */
const BOOTSTRAP_RETRY_MS = 500;

/** Creates an agent; `start` begins its timers and its bootstrap. */
export function createAgent(config: AgentConfig): Agent {
  const { settings, clock, audit, store, router, control } = config;
  const ownControlAddress = formatAddress(settings.control);
  const gossip = createGossipState();
  const membership = createMembership();
  const readers = createReaderSelection<ListedInstance>(settings.instance, {
    dataCentre: settings.dataCentre,
  });
  const seeds = settings.seeds.map(formatAddress).filter((a) =>
    a !== ownControlAddress
  );
  const peers = createPeers(ownControlAddress, seeds);
  // If all nodes read the platform, what it publishes is not pushed to peers.
  const allNodesRead = settings.readers === "all";
  const bundleSync = createBundleSync({
    ownControlAddress,
    service: settings.service,
    clock,
    store,
    gossip,
    peers,
    control,
    comparisonOnly: allNodesRead,
  });
  const ownAddress = formatAddress(settings.data);
  let listedId = settings.instance;
  let leaving = false;
  const timers: { readonly close: () => void }[] = [];
  let comparedAt = clock.now();
  let bootstrapped = seeds.length === 0;
  let closed = false;

  const feed = config.createFeed({
    onValues: offerBundles,
    onInstances: applyListedInstances,
    onReachabilityChange: (reachable, reason) => {
      const event = reachable ? "platform_reachable" : "platform_unreachable";
      audit.record(event, { reason });
    },
  });

  function offerBundles(values: readonly PlatformValue[]): void {
    for (const { key, value } of values) {
      bundleSync.offer(value, `platform ${key}`);
    }
  }

  function applyListedInstances(instances: readonly PlatformInstance[]): void {
    const news = instances.map(({ revision, ...listed }) => {
      const value = JSON.stringify(listed);
      const topic = INSTANCE_TOPIC_PREFIX + listed.id;
      return { topic, version: revision, digest: shortDigest(value), value };
    });
    applyNews(news);
  }

  /** Stores news; returns the items that were new or newer. */
  function storeNews(news: readonly News[]): readonly News[] {
    const now = clock.now();
    return news.flatMap((item) => {
      return gossip.receive([item], now, {
        comparisonOnly: allNodesRead && !requiresPush(item),
      });
    });
  }

  /** Stores news and passes on what changed to the node's other parts. */
  function applyNews(news: readonly News[]): void {
    const fresh = storeNews(news);
    let changed = false;
    for (const item of fresh) {
      if (item.topic.startsWith(INSTANCE_TOPIC_PREFIX)) {
        changed = applyInstanceNews(item) || changed;
      } else if (item.topic.startsWith(FACT_TOPIC_PREFIX)) {
        changed = applyFactNews(item) || changed;
      } else if (item.topic.startsWith(DEATH_TOPIC_PREFIX)) {
        applyDeathNews(item);
      } else if (item.topic.startsWith(BUNDLE_TOPIC_PREFIX)) {
        bundleSync.fetchIfNewer(item);
      }
    }
    if (changed) refreshRoutes();
  }

  function applyInstanceNews(news: News): boolean {
    const instance = parseNewsValue<ListedInstance>(news);
    if (instance === undefined) return false;
    const { id, service, dataCentre, state } = instance;
    if (membership.applyListed(instance, clock.now())) {
      const event = state === "gone" ? "instance_gone" : "instance_listed";
      audit.record(event, { id, service, dataCentre, state });
    }
    applyOwnEntry(instance);
    return true;
  }

  /**
   * Applies the list entry at this node's address, if the settings take the
   * backend server from the list.
   */
  function applyOwnEntry(instance: ListedInstance): void {
    if (settings.backendFrom !== "instance_list") return;
    if (instance.address !== ownAddress) return;
    if (instance.service !== settings.service) {
      // The address now belongs to a backend server of another service.
      config.onOwnInstance({ ...instance, id: listedId, state: "gone" });
      return;
    }
    config.onOwnInstance(instance);
    if (instance.state === "gone" || instance.id === listedId) return;
    listedId = instance.id;
    applyNews([createOwnFactNews()]);
  }

  function createOwnFactNews(): News {
    const { incarnation } = config;
    return createFactNews({ id: listedId, incarnation, leaving });
  }

  function applyFactNews(news: News): boolean {
    const fact = parseNewsValue<InstanceFact>(news);
    return fact !== undefined && applyFact(fact);
  }

  function applyFact(fact: InstanceFact): boolean {
    if (!membership.applyFact(fact, clock.now())) return false;
    if (fact.leaving) {
      router.markLeaving(fact.id, fact.incarnation);
      audit.record("instance_leaving", { ...fact });
    }
    return true;
  }

  function applyDeathNews(news: News): void {
    const death = parseNewsValue<Death>(news);
    // Clocks of nodes differ, so the time of the death is derived from the age
    // of the news.
    const ageMs = SUSPECT_TTL_MS - (news.lifeMs ?? SUSPECT_TTL_MS);
    if (death) config.suspects.record({ ...death, at: clock.now() - ageMs });
  }

  function refreshRoutes(): void {
    const now = clock.now();
    for (const service of membership.services()) {
      router.update(service, membership.upstreams(service, now), { now });
    }
    const { dataCentre, dataCentres } = settings;
    // The first data centre is this node's own.
    peers.update({
      local: membership.members(dataCentre),
      remote: dataCentres.slice(1).flatMap(membership.members),
    });
  }

  function pushRecentNews(): void {
    const options = { now: clock.now(), random: Math.random };
    for (const { peer, news } of gossip.pushRound(peers.sample(), options)) {
      control.push(peer, news);
    }
  }

  /**
   * Anti-entropy comparison: exchanges the news that one side lacks, in both
   * directions; false on failure.
   */
  async function compareWith(peer: string): Promise<boolean> {
    const reply = await control.compare(peer, gossip.compare(clock.now()));
    if (reply.isErr()) return false;
    applyNews(reply.value.recent);
    if (reply.value.buckets === undefined) return true;
    const ownNews = gossip.differing(reply.value.buckets, clock.now());
    const hashes = gossip.buckets(clock.now());
    const peerNews = await control.differing(peer, hashes);
    if (peerNews.isErr()) return false;
    applyNews(peerNews.value);
    if (ownNews.length > 0) {
      await control.push(peer, ownNews.slice(0, COMPARE_PUSH_NEWS_MAX));
    }
    return true;
  }

  /**
   * Compares with a random peer; less often while all nodes read the platform
   * and it answers.
   */
  function compareWithRandomPeer(): void {
    const now = clock.now();
    const isReading = allNodesRead && feed.reachable();
    if (isReading && now - comparedAt < READER_ANTI_ENTROPY_PERIOD_MS) return;
    comparedAt = now;
    const candidates = peers.sample();
    const peer = candidates[drawIndex(Math.random, candidates.length)];
    if (peer !== undefined) compareWith(peer);
  }

  /**
   * Compares with seeds, for at most a random time, before this node may read
   * the platform, so that nodes that start together do not all read it at once.
   */
  async function bootstrap(): Promise<void> {
    const endsAt = clock.now() + Math.random() * BOOTSTRAP_JITTER_MS;
    while (!bootstrapped && !closed && clock.now() < endsAt) {
      for (const seed of peers.sampleSeeds()) {
        const compared = await compareWith(seed);
        if (compared && store.catalog() !== undefined) bootstrapped = true;
        if (bootstrapped) return;
      }
      await new Promise<void>((resolve) =>
        clock.after(BOOTSTRAP_RETRY_MS, resolve)
      );
    }
    bootstrapped = true;
  }

  /** Starts or stops reading the platform, as the reader selection decides. */
  function updateReaderRole(): void {
    if (!bootstrapped) return;
    const members = membership.members(settings.dataCentre);
    const role = readers.role(members, clock.now());
    // A node without a fleet bundle reads the platform in any role.
    const shouldRead = settings.readers === "all" ||
      role.kind === "reader" || store.catalog() === undefined;
    if (shouldRead && !feed.active()) {
      audit.record("reader_started");
      feed.start();
    }
    if (!shouldRead && feed.active()) {
      audit.record("reader_stopped");
      feed.stop();
    }
    if (!shouldRead && role.kind === "standby") probeReaders(role.probe);
  }

  /** Checks whether the nodes ranked before this one as readers respond. */
  async function probeReaders(
    members: readonly ListedInstance[],
  ): Promise<void> {
    for (const { id, control: address } of members) {
      const reply = await control.identity(address);
      readers.recordProbe(id, reply.isOk(), clock.now());
    }
  }

  function identity(): Identity {
    return {
      instance: listedId,
      incarnation: config.incarnation,
      ready: store.catalog() !== undefined,
    };
  }

  function pull(topics: readonly string[]): readonly PulledValue[] {
    return topics.flatMap((topic) => {
      const scope = topic.startsWith(BUNDLE_TOPIC_PREFIX)
        ? topic.slice(BUNDLE_TOPIC_PREFIX.length)
        : undefined;
      const value = scope === undefined ? undefined : store.textOf(scope);
      return value === undefined ? [] : [{ topic, value }];
    });
  }

  return {
    controlHandler: {
      identity,
      push: applyNews,
      compare: (comparison) => {
        applyNews(comparison.recent);
        return gossip.reply(comparison, clock.now());
      },
      differing: (buckets) => gossip.differing(buckets, clock.now()),
      pull,
    },
    membership,
    start: () => {
      applyNews([createOwnFactNews()]);
      timers.push(
        clock.every(GOSSIP_PUSH_PERIOD_MS, pushRecentNews),
        clock.every(ANTI_ENTROPY_PERIOD_MS, compareWithRandomPeer),
        clock.every(READER_CHECK_PERIOD_MS, updateReaderRole),
      );
      bootstrap().then(updateReaderRole);
    },
    recordInstanceFact: (fact) => {
      if (applyFact(fact)) {
        storeNews([createFactNews(fact)]);
        refreshRoutes();
      }
    },
    receiveBundleAnnouncement: (text) => {
      const [bundle = "", source] = text.split("@");
      const [versionText, digest] = bundle.split(":");
      const version = Number(versionText);
      if (!source || !digest || !Number.isSafeInteger(version)) return;
      peers.addSeed(source);
      const inForce = store.inForce(FLEET_SCOPE);
      if (inForce !== undefined && inForce.version >= version) return;
      applyNews([{
        topic: BUNDLE_TOPIC_PREFIX + FLEET_SCOPE,
        version,
        digest,
        source,
      }]);
    },
    requestBundle: (service) => {
      const announced = gossip.find(BUNDLE_TOPIC_PREFIX + service);
      if (announced === undefined || store.inForce(service)) return false;
      bundleSync.addCalledService(service);
      bundleSync.fetchIfNewer(announced);
      return true;
    },
    bundleAnnouncement: () => {
      const inForce = store.inForce(FLEET_SCOPE);
      return inForce
        ? `${inForce.version}:${inForce.digest}@${ownControlAddress}`
        : "";
    },
    announceDeath: (death) => {
      config.suspects.record(death);
      applyNews([createDeathNews(death)]);
      pushRecentNews();
    },
    announceLeaving: async () => {
      leaving = true;
      const news = createOwnFactNews();
      applyNews([news]);
      await Promise.all(
        peers.sample().map((peer) => control.push(peer, [news])),
      );
    },
    listedId: () => listedId,
    status: () => ({
      reader: feed.active(),
      platformReachable: feed.active() ? feed.reachable() : undefined,
      instances: membership.all().length,
      topics: gossip.size(),
    }),
    close: () => {
      closed = true;
      bundleSync.close();
      feed.close();
      for (const timer of timers) timer.close();
    },
  };
}
