/**
 * The agent: reads bundles and the instance list from the platform and
 * distributes them between nodes by gossip, together with facts that instances
 * report about themselves and the deaths of backend servers.
 */

import { FLEET_SCOPE } from "@coltsfootdeal/bundle";
import type { Clock } from "@coltsfootdeal/kernel";
import {
  ANTI_ENTROPY_PERIOD_MS,
  type BackendReport,
  BOOTSTRAP_JITTER_MS,
  createGossipState,
  createMembership,
  type Death,
  drawIndex,
  GOSSIP_PUSH_PERIOD_MS,
  type InstanceFact,
  isSameListing,
  LEAVING_FACT_TTL_MS,
  type ListedEntry,
  type ListedInstance,
  type Membership,
  type News,
  READERS_PER_DATA_CENTRE,
  type ReceiveOptions,
  resolveRanking,
  resolveSources,
  type Router,
  selectBackendEntry,
  STANDBY_READERS_PER_DATA_CENTRE,
  SUSPECT_TTL_MS,
  type Suspects,
} from "@coltsfootdeal/policy";
import type { Audit } from "../admin/audit.ts";
import { formatAddress, type NodeSettings } from "../settings.ts";
import { createBroadcast } from "./broadcast.ts";
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
  NOTICE_TOPIC_PREFIX,
  parseNewsValue,
  requiresPush,
  shortDigest,
} from "./news.ts";
import { createKnowledge } from "./knowledge.ts";
import { createNotices } from "./notices.ts";
import { createPeers } from "./peers.ts";
import { createPlatformReader } from "./platform_reader.ts";
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
   * Called with the instance list's entry of the backend server beside this
   * node, if the settings take it from the list; with the state `gone` when no
   * entry is left.
   */
  readonly onOwnInstance: (instance: ListedInstance) => void;
  /** Called with what peers remember of this node's backend server. */
  readonly onOwnReport: (report: BackendReport) => void;
  readonly control: ControlClient;
}

/** State of the agent, as the page `/status` shows it. */
export interface AgentStatus {
  /** Whether this node reads the platform. */
  readonly reader: boolean;
  /** Whether the platform answers; undefined if this node does not read it. */
  readonly platformReachable: boolean | undefined;
  /** Time in ms since the platform answered; undefined before the first. */
  readonly platformAnswerAgeMs: number | undefined;
  /**
   * Age in ms of what this node knows of the platform; undefined if it was
   * never confirmed.
   */
  readonly knowledgeAgeMs: number | undefined;
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
  /** Records what a gate reports of its backend server. */
  readonly recordBackendReport: (report: BackendReport) => void;
  /** What this node remembers of a backend server, by instance id. */
  readonly rememberedOf: (instance: string) => BackendReport | undefined;
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
/**
 * Nodes of a data centre up to which one that has read the platform for itself
 * tells all of them; in a larger one it tells a few.
 */
const OFFERED_PEERS_MAX = 64;
/** Wait between two rounds of requests to seeds. */
const BOOTSTRAP_RETRY_MS = 500;
/** Creates an agent; `start` begins its timers and its bootstrap. */
export function createAgent(config: AgentConfig): Agent {
  const { settings, clock, audit, store, router, control } = config;
  const ownControlAddress = formatAddress(settings.control);
  const gossip = createGossipState();
  const membership = createMembership();
  const notices = createNotices({
    clock,
    audit,
    gossip,
    isListed: (id) => membership.find(id) !== undefined,
    onLeaving: (report) => {
      if (report.id === listedId) config.onOwnReport(report);
    },
  });
  const seeds = settings.seeds.map(formatAddress).filter((a) =>
    a !== ownControlAddress
  );
  const peers = createPeers(ownControlAddress, seeds);
  const bundleSync = createBundleSync({
    ownControlAddress,
    service: settings.service,
    clock,
    store,
    gossip,
    peers,
    control,
  });
  let listedId = settings.instance;
  /** The own backend server as it was last passed on. */
  let own: ListedEntry | undefined;
  let leaving = false;
  const timers: { readonly close: () => void }[] = [];
  /** Result of `rankedReaders`; undefined once the members have changed. */
  let readerAddresses: readonly string[] | undefined;
  let bootstrapped = seeds.length === 0;
  let closed = false;

  const feed = config.createFeed({
    onValues: offerBundles,
    onInstances: applyListedInstances,
    onListed: finishList,
    knownInstances: membership.all,
    onWatchBehind: () => audit.record("watch_behind"),
    onReachabilityChange: (reachable, reason) => {
      const event = reachable ? "platform_reachable" : "platform_unreachable";
      audit.record(event, { reason });
    },
  });

  const platformReader = createPlatformReader({
    dataCentre: settings.dataCentre,
    clock,
    audit,
    control,
    feed,
    self: ownMemberId,
    members: () => membership.members(settings.dataCentre),
    hasBundle: () => store.catalog() !== undefined,
    onReaderAnswer: () => knowledge.recordContact({ readerAgeMs: 0 }),
  });

  const knowledge = createKnowledge({
    clock,
    audit,
    feed,
    compareWith,
    drawPeers: drawSources,
    offer: (receivers) => {
      for (const peer of drawOfferReceivers(receivers)) {
        control.offer(peer, ownControlAddress);
      }
    },
  });

  const broadcast = createBroadcast({
    ownControlAddress,
    dataCentre: settings.dataCentre,
    clock,
    gossip,
    peers,
    control,
    pushRecentNews,
  });

  function offerBundles(values: readonly PlatformValue[]): void {
    for (const { key, value } of values) {
      bundleSync.offer(value, `platform ${key}`);
    }
    broadcast.send([]);
  }

  function applyListedInstances(instances: readonly PlatformInstance[]): void {
    const news = instances.map(({ revision, ...listed }) => {
      const value = JSON.stringify(listed);
      const topic = INSTANCE_TOPIC_PREFIX + listed.id;
      return { topic, version: revision, digest: shortDigest(value), value };
    });
    const changed = applyNews(news).flatMap((item) =>
      parseNewsValue<ListedInstance>(item) ?? []
    );
    broadcast.send(changed);
  }

  /**
   * After a list, a node that is not a reader need not watch. What changed since
   * the list was made is left to the peers in it. They hear at once that this
   * node has started, in case they took it for leaving.
   */
  function finishList(): void {
    platformReader.update();
    compareWithRandomPeer();
  }

  /** Stores news; returns the items that were new or newer. */
  function storeNews(
    news: readonly News[],
    options: ReceiveOptions = {},
  ): readonly News[] {
    const now = clock.now();
    return news.flatMap((item) => {
      const known = gossip.find(item.topic);
      const comparisonOnly = options.comparisonOnly ||
        !requiresPush(item, known);
      return gossip.receive([item], now, { comparisonOnly });
    });
  }

  /**
   * Stores news and passes on what changed to the node's other parts; returns
   * the items that were new or newer.
   */
  function applyNews(
    news: readonly News[],
    options: ReceiveOptions & { readonly from?: string } = {},
  ): readonly News[] {
    const fresh = storeNews(news, options);
    let changed = false;
    let listChanged = false;
    for (const item of fresh) {
      if (item.topic.startsWith(INSTANCE_TOPIC_PREFIX)) {
        listChanged = applyInstanceNews(item) || listChanged;
      } else if (item.topic.startsWith(FACT_TOPIC_PREFIX)) {
        changed = applyFactNews(item) || changed;
      } else if (item.topic.startsWith(NOTICE_TOPIC_PREFIX)) {
        changed = notices.applyNews(item) || changed;
      } else if (item.topic.startsWith(DEATH_TOPIC_PREFIX)) {
        applyDeathNews(item);
      } else if (item.topic.startsWith(BUNDLE_TOPIC_PREFIX)) {
        bundleSync.fetchIfNewer(item, options.from);
      }
    }
    if (listChanged) updateOwnEntry();
    if (changed || listChanged) refreshRoutes();
    return fresh;
  }

  function applyInstanceNews(news: News): boolean {
    const instance = parseNewsValue<ListedInstance>(news);
    if (instance === undefined) return false;
    const { id, service, dataCentre, state } = instance;
    if (state === "gone") notices.forgetNews(id);
    if (membership.applyListed({ ...instance, revision: news.version })) {
      const event = state === "gone" ? "instance_gone" : "instance_listed";
      audit.record(event, {
        id,
        service,
        dataCentre,
        state,
        startedAt: instance.startedAt,
        revision: news.version,
      });
    }
    // An entry can return to an earlier state, but a backend server that leaves
    // does not stay.
    if (state === "leaving" && instance.startedAt !== undefined) {
      const { startedAt } = instance;
      notices.recordLeaving({ id, startedAt }, { comparisonOnly: true });
    }
    return true;
  }

  /**
   * Passes on what the list says of the backend server beside this node, if the
   * settings take it from the list. All entries are looked at, since the one
   * heard last need not be of the process that is there now.
   */
  function updateOwnEntry(): void {
    if (settings.listedBackend === undefined) return;
    const entry = selectBackendEntry(membership.all(), {
      service: settings.service,
      address: formatAddress(settings.listedBackend),
    });
    const isGone = entry === undefined;
    const next = isGone && own ? { ...own, state: "gone" as const } : entry;
    if (next === undefined || own && isSameListing(own, next)) return;
    own = next;
    const { id, state, startedAt, revision } = next;
    const event = isGone ? "backend_unlisted" : "backend_listed";
    audit.record(event, { id, state, startedAt, revision });
    config.onOwnInstance(next);
    const remembered = notices.find(id);
    if (remembered !== undefined) config.onOwnReport(remembered);
    if (isGone || id === listedId) return;
    listedId = id;
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
    const now = clock.now();
    if (!membership.applyFact(fact, now)) return false;
    if (fact.leaving) {
      router.markLeaving(fact.id, fact.incarnation, { now });
      audit.record("instance_leaving", { ...fact });
      clock.after(LEAVING_FACT_TTL_MS, () => {
        if (!closed) refreshRoutes();
      });
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
    readerAddresses = undefined;
    for (const service of membership.services()) {
      const upstreams = membership.upstreams(service, now).filter(
        ({ id, startedAt }) => !notices.isLeaving({ id, startedAt }),
      );
      router.update(service, upstreams, { now });
    }
    const { dataCentre, dataCentres } = settings;
    // The first data centre is this node's own.
    peers.update({
      // Nodes whose backend server is leaving still serve their callers.
      local: membership.all().filter((other) =>
        other.dataCentre === dataCentre
      ),
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
    const sentAt = clock.now();
    const reply = await control.compare(peer, {
      ...gossip.compare(sentAt),
      ...knowledge.contact(),
      source: ownControlAddress,
    });
    if (reply.isErr()) return false;
    const { recent, buckets, truncated, ...contact } = reply.value;

    /**
     * Takes over the age of the peer's knowledge, if all of it is here. Until a
     * bundle has been fetched, only its announcement is.
     */
    function recordKnown(): void {
      if (truncated === true || bundleSync.isFetching()) return;
      knowledge.recordComparison(contact, { peer, sentAt });
    }

    knowledge.recordContact(contact);
    applyNews(recent, { from: peer });
    if (buckets === undefined) {
      recordKnown();
      return true;
    }
    const ownNews = gossip.differing(buckets, clock.now());
    const hashes = gossip.buckets(clock.now());
    const peerNews = await control.differing(peer, hashes);
    if (peerNews.isErr()) return false;
    applyNews(peerNews.value, { from: peer });
    recordKnown();
    if (ownNews.length > 0) {
      await control.push(peer, ownNews.slice(0, COMPARE_PUSH_NEWS_MAX));
    }
    return true;
  }

  function drawPeer(candidates: readonly string[]): string | undefined {
    return candidates[drawIndex(Math.random, candidates.length)];
  }

  function compareWithRandomPeer(): void {
    const peer = drawPeer(peers.sample());
    if (peer !== undefined) compareWith(peer);
  }

  /**
   * Id of the entry that stands for this node among the members of its data
   * centre; undefined while it has no live one. It need not be that of its
   * backend server.
   */
  function ownMemberId(): string | undefined {
    return membership.members(settings.dataCentre).find((member) =>
      member.control === ownControlAddress
    )?.id;
  }

  /**
   * Draws the peers that this node asks whether its knowledge is current. When
   * the first did not help, any peer is asked as well.
   */
  function drawSources(attempt: number): readonly string[] {
    const members = membership.members(settings.dataCentre);
    const sources = resolveSources(members, {
      dataCentre: settings.dataCentre,
      self: ownMemberId(),
      sourcesMin: attempt === 0
        ? READERS_PER_DATA_CENTRE
        : READERS_PER_DATA_CENTRE + STANDBY_READERS_PER_DATA_CENTRE,
    }).map((member) => member.control);
    const source = drawPeer(sources.filter((a) => a !== ownControlAddress));
    if (source !== undefined && attempt === 0) return [source];
    const others = peers.sample().filter((peer) => peer !== source);
    return [source ?? [], drawPeer(others) ?? []].flat();
  }

  /** Control addresses of the nodes that are to read the platform, by rank. */
  function rankedReaders(): readonly string[] {
    return settings.dataCentres.flatMap((dataCentre) =>
      resolveRanking(membership.members(dataCentre), { hashKey: dataCentre })
        .slice(0, READERS_PER_DATA_CENTRE)
        .map((member) => member.control)
    );
  }

  function drawOfferReceivers(
    receivers: "readers" | "data_centre",
  ): readonly string[] {
    switch (receivers) {
      case "readers":
        readerAddresses ??= rankedReaders();
        return readerAddresses.filter((a) => a !== ownControlAddress);
      case "data_centre": {
        const local = peers.local();
        return local.length > OFFERED_PEERS_MAX ? peers.sample() : local;
      }
    }
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

  function identity(): Identity {
    return {
      instance: listedId,
      incarnation: config.incarnation,
      ready: store.catalog() !== undefined,
      readsPlatform: feed.active() && feed.reachable(),
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
      push: (news) => {
        applyNews(news);
      },
      inform: (news) => {
        applyNews(news, { comparisonOnly: true });
      },
      compare: (comparison) => {
        knowledge.recordContact(comparison);
        if (comparison.source !== undefined) {
          broadcast.recordAsker(comparison.source);
        }
        applyNews(comparison.recent);
        return {
          ...gossip.reply(comparison, clock.now()),
          ...knowledge.contact(),
        };
      },
      offer: knowledge.receiveOffer,
      differing: (buckets) => gossip.differing(buckets, clock.now()),
      pull,
      onMalformedNews: (items, reason) =>
        audit.record("news_malformed", { items, reason }),
    },
    membership,
    start: () => {
      applyNews([createOwnFactNews()]);
      timers.push(
        clock.every(GOSSIP_PUSH_PERIOD_MS, pushRecentNews),
        clock.every(ANTI_ENTROPY_PERIOD_MS, compareWithRandomPeer),
      );
      bootstrap().then(() => {
        if (closed) return;
        platformReader.start();
        knowledge.start();
      });
    },
    recordInstanceFact: (fact) => {
      if (applyFact(fact)) {
        storeNews([createFactNews(fact)]);
        refreshRoutes();
      }
    },
    recordBackendReport: (report) => {
      if (notices.recordReport(report)) refreshRoutes();
    },
    rememberedOf: notices.find,
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
    status: () => {
      const answeredAt = feed.answeredAt();
      return {
        reader: feed.active(),
        platformReachable: feed.active() ? feed.reachable() : undefined,
        platformAnswerAgeMs: answeredAt === undefined
          ? undefined
          : clock.now() - answeredAt,
        knowledgeAgeMs: knowledge.ageMs(),
        instances: membership.all().length,
        topics: gossip.size(),
      };
    },
    close: () => {
      closed = true;
      bundleSync.close();
      knowledge.close();
      platformReader.close();
      broadcast.close();
      for (const timer of timers) timer.close();
    },
  };
}
