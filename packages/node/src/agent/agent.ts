/** The agent: distribution of bundles, membership and facts about instances. */

import { FLEET_SCOPE } from "@coltsfootdeal/bundle";
import type { Clock } from "@coltsfootdeal/kernel";
import {
  BOOTSTRAP_SPREAD_MS,
  COMPARE_PERIOD_MS,
  createMembership,
  createReaders,
  createSpread,
  type Death,
  drawIndex,
  type InstanceFact,
  type ListedInstance,
  type Membership,
  type News,
  READER_COMPARE_PERIOD_MS,
  type Router,
  RUMOUR_PERIOD_MS,
  SUSPECT_TTL_MS,
  type Suspects,
} from "@coltsfootdeal/policy";
import type { Audit } from "../admin/audit.ts";
import { READER_PERIOD_MS } from "../constants.ts";
import { formatAddress, type NodeSettings } from "../settings.ts";
import type { BundleStore } from "./bundle_store.ts";
import { createBundleSync } from "./bundle_sync.ts";
import type { ControlHandler, Identity, PulledValue } from "./control_api.ts";
import type { ControlClient } from "./control_client.ts";
import {
  BUNDLE,
  DEATH,
  deathNews,
  digestOf,
  FACT,
  factNews,
  INSTANCE,
  isUrgent,
  parse,
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
  /** Told what the instance list says of the instance at this address. */
  readonly onOwnInstance: (instance: ListedInstance) => void;
  readonly control: ControlClient;
}

/** State of the agent, for people. */
export interface AgentStatus {
  readonly reader: boolean;
  /** Whether the platform answered last; undefined if it is not asked. */
  readonly platformReachable: boolean | undefined;
  readonly instances: number;
  readonly topics: number;
}

/** The agent of one node. */
export interface Agent {
  readonly controlHandler: ControlHandler;
  readonly membership: Membership;
  readonly start: () => void;
  /** Learns what an instance says about itself on an answer. */
  readonly recordInstanceFact: (fact: InstanceFact) => void;
  /** Learns that a node has a version in force, as a call carries it. */
  readonly receiveBundleAnnouncement: (text: string) => void;
  /** Asks for a service's bundle; false if no version of it is known. */
  readonly requestBundle: (service: string) => boolean;
  /** Version and source that this node's calls carry. */
  readonly bundleAnnouncement: () => string;
  readonly announceDeath: (death: Death) => void;
  readonly announceLeaving: () => Promise<void>;
  /** Id under which this instance is listed. */
  readonly listedId: () => string;
  readonly status: () => AgentStatus;
  readonly close: () => void;
}

/** Creates an agent that has not started. */
export function createAgent(config: AgentConfig): Agent {
  const { settings, clock, audit, store, router, control } = config;
  const self = formatAddress(settings.control);
  const spread = createSpread();
  const membership = createMembership();
  const readers = createReaders<ListedInstance>(settings.instance, {
    dataCentre: settings.dataCentre,
  });
  const seeds = settings.seeds.map(formatAddress).filter((a) => a !== self);
  const peers = createPeers(self, seeds);
  // What all nodes read for themselves needs no rumours.
  const quiet = settings.readers === "all";
  const bundles = createBundleSync({
    self,
    service: settings.service,
    clock,
    store,
    spread,
    peers,
    control,
    quiet,
  });
  const ownAddress = formatAddress(settings.data);
  let ownId = settings.instance;
  let leaving = false;
  const timers: { readonly close: () => void }[] = [];
  let comparedAt = clock.now();
  let bootstrapped = seeds.length === 0;
  let closed = false;

  const watch = config.createFeed({
    onValues: takeValues,
    onInstances: takeInstances,
    onReachabilityChange: (reachable, reason) => {
      const event = reachable ? "platform_reachable" : "platform_unreachable";
      audit.record(event, { reason });
    },
  });

  function takeValues(values: readonly PlatformValue[]): void {
    for (const { key, value } of values) {
      bundles.offer(value, `platform ${key}`);
    }
  }

  function takeInstances(instances: readonly PlatformInstance[]): void {
    const news = instances.map(({ revision, ...listed }) => {
      const value = JSON.stringify(listed);
      const topic = INSTANCE + listed.id;
      return { topic, version: revision, digest: digestOf(value), value };
    });
    learn(news);
  }

  /** Stores news; returns what was fresh. */
  function receive(news: readonly News[]): readonly News[] {
    const now = clock.now();
    return news.flatMap((item) => {
      return spread.receive([item], now, { quiet: quiet && !isUrgent(item) });
    });
  }

  /** Applies news and tells the parts of the node that it concerns. */
  function learn(news: readonly News[]): void {
    const fresh = receive(news);
    let changed = false;
    for (const item of fresh) {
      if (item.topic.startsWith(INSTANCE)) {
        changed = learnInstance(item) || changed;
      } else if (item.topic.startsWith(FACT)) {
        changed = learnFact(item) || changed;
      } else if (item.topic.startsWith(DEATH)) learnDeath(item);
      else if (item.topic.startsWith(BUNDLE)) bundles.consider(item);
    }
    if (changed) refreshRoutes();
  }

  function learnInstance(news: News): boolean {
    const instance = parse<ListedInstance>(news);
    if (instance === undefined) return false;
    const { id, service, dataCentre, state } = instance;
    if (membership.list(instance, clock.now())) {
      const event = state === "gone" ? "instance_gone" : "instance_listed";
      audit.record(event, { id, service, dataCentre, state });
    }
    learnOwn(instance);
    return true;
  }

  /** Where the list tells which backend server is beside this node. */
  function learnOwn(instance: ListedInstance): void {
    if (settings.backendFrom !== "instance_list") return;
    if (instance.address !== ownAddress) return;
    if (instance.service !== settings.service) {
      // The address of the backend server went to another service.
      config.onOwnInstance({ ...instance, id: ownId, state: "gone" });
      return;
    }
    config.onOwnInstance(instance);
    if (instance.state === "gone" || instance.id === ownId) return;
    ownId = instance.id;
    learn([ownFact()]);
  }

  function ownFact(): News {
    const { incarnation } = config;
    return factNews({ id: ownId, incarnation, leaving });
  }

  function learnFact(news: News): boolean {
    const fact = parse<InstanceFact>(news);
    return fact !== undefined && applyFact(fact);
  }

  function applyFact(fact: InstanceFact): boolean {
    if (!membership.learn(fact, clock.now())) return false;
    if (fact.leaving) {
      router.markLeaving(fact.id, fact.incarnation);
      audit.record("instance_leaving", { ...fact });
    }
    return true;
  }

  function learnDeath(news: News): void {
    const death = parse<Death>(news);
    // The age of the news stands in for the other node's clock.
    const age = SUSPECT_TTL_MS - (news.lifeMs ?? SUSPECT_TTL_MS);
    if (death) config.suspects.record({ ...death, at: clock.now() - age });
  }

  function refreshRoutes(): void {
    const now = clock.now();
    for (const service of membership.services()) {
      router.update(service, membership.upstreams(service, now), { now });
    }
    const { dataCentre, dataCentres } = settings;
    peers.update({
      local: membership.members(dataCentre),
      remote: dataCentres.slice(1).flatMap(membership.members),
    });
  }

  function pushRumours(): void {
    const options = { now: clock.now(), random: Math.random };
    for (const { peer, news } of spread.round(peers.draw(), options)) {
      control.push(peer, news);
    }
  }

  async function compareWith(peer: string): Promise<boolean> {
    const reply = await control.compare(peer, spread.compare(clock.now()));
    if (reply.isErr()) return false;
    learn(reply.value.recent);
    if (reply.value.buckets === undefined) return true;
    const mine = spread.differing(reply.value.buckets, clock.now());
    const hashes = spread.buckets(clock.now());
    const theirs = await control.differing(peer, hashes);
    if (theirs.isErr()) return false;
    learn(theirs.value);
    if (mine.length > 0) await control.push(peer, mine.slice(0, 1_024));
    return true;
  }

  function comparePeer(): void {
    const now = clock.now();
    const reads = quiet && watch.reachable();
    if (reads && now - comparedAt < READER_COMPARE_PERIOD_MS) return;
    comparedAt = now;
    const drawn = peers.draw();
    const peer = drawn[drawIndex(Math.random, drawn.length)];
    if (peer !== undefined) compareWith(peer);
  }

  async function bootstrap(): Promise<void> {
    const deadline = clock.now() + Math.random() * BOOTSTRAP_SPREAD_MS;
    while (!bootstrapped && !closed && clock.now() < deadline) {
      for (const seed of peers.drawSeeds()) {
        const done = await compareWith(seed);
        if (done && store.catalog() !== undefined) bootstrapped = true;
        if (bootstrapped) return;
      }
      await new Promise<void>((resolve) => clock.after(500, resolve));
    }
    bootstrapped = true;
  }

  function checkReader(): void {
    if (!bootstrapped) return;
    const members = membership.members(settings.dataCentre);
    const role = readers.role(members, clock.now());
    const shouldRead = settings.readers === "all" ||
      role.kind === "reader" || store.catalog() === undefined;
    if (shouldRead && !watch.active()) {
      audit.record("reader_started");
      watch.start();
    }
    if (!shouldRead && watch.active()) {
      audit.record("reader_stopped");
      watch.stop();
    }
    if (!shouldRead && role.kind === "standby") probe(role.probe);
  }

  async function probe(members: readonly ListedInstance[]): Promise<void> {
    for (const { id, control: address } of members) {
      const reply = await control.identity(address);
      readers.probed(id, reply.isOk(), clock.now());
    }
  }

  function identity(): Identity {
    return {
      instance: ownId,
      incarnation: config.incarnation,
      ready: store.catalog() !== undefined,
    };
  }

  function pull(topics: readonly string[]): readonly PulledValue[] {
    return topics.flatMap((topic) => {
      const scope = topic.startsWith(BUNDLE)
        ? topic.slice(BUNDLE.length)
        : undefined;
      const value = scope === undefined ? undefined : store.textOf(scope);
      return value === undefined ? [] : [{ topic, value }];
    });
  }

  return {
    controlHandler: {
      identity,
      push: learn,
      compare: (comparison) => {
        learn(comparison.recent);
        return spread.reply(comparison, clock.now());
      },
      differing: (buckets) => spread.differing(buckets, clock.now()),
      pull,
    },
    membership,
    start: () => {
      learn([ownFact()]);
      timers.push(
        clock.every(RUMOUR_PERIOD_MS, pushRumours),
        clock.every(COMPARE_PERIOD_MS, comparePeer),
        clock.every(READER_PERIOD_MS, checkReader),
      );
      bootstrap().then(checkReader);
    },
    recordInstanceFact: (fact) => {
      if (applyFact(fact)) {
        receive([factNews(fact)]);
        refreshRoutes();
      }
    },
    receiveBundleAnnouncement: (text) => {
      const [head = "", source] = text.split("@");
      const [versionText, digest] = head.split(":");
      const version = Number(versionText);
      if (!source || !digest || !Number.isSafeInteger(version)) return;
      peers.addSeed(source);
      const inForce = store.inForce(FLEET_SCOPE);
      if (inForce !== undefined && inForce.version >= version) return;
      learn([{ topic: BUNDLE + FLEET_SCOPE, version, digest, source }]);
    },
    requestBundle: (service) => {
      const head = spread.find(BUNDLE + service);
      if (head === undefined || store.inForce(service)) return false;
      bundles.addCalled(service);
      bundles.consider(head);
      return true;
    },
    bundleAnnouncement: () => {
      const inForce = store.inForce(FLEET_SCOPE);
      return inForce ? `${inForce.version}:${inForce.digest}@${self}` : "";
    },
    announceDeath: (death) => {
      config.suspects.record(death);
      learn([deathNews(death)]);
      pushRumours();
    },
    announceLeaving: async () => {
      leaving = true;
      const news = ownFact();
      learn([news]);
      await Promise.all(peers.draw().map((peer) => control.push(peer, [news])));
    },
    listedId: () => ownId,
    status: () => ({
      reader: watch.active(),
      platformReachable: watch.active() ? watch.reachable() : undefined,
      instances: membership.all().length,
      topics: spread.size(),
    }),
    close: () => {
      closed = true;
      bundles.close();
      watch.close();
      for (const timer of timers) timer.close();
    },
  };
}
