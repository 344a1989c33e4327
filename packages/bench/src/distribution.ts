/** Simulates how fast gossip spreads an update through a fleet. */

import {
  ANTI_ENTROPY_PERIOD_MS,
  createGossipState,
  GOSSIP_PUSH_PERIOD_MS,
  type GossipState,
} from "@coltsfootdeal/policy";
import { createRandomSource, type RandomSource } from "./random.ts";

/** How long one update took and how many messages were sent. */
export interface DistributionResult {
  readonly measure: "distribution";
  readonly members: number;
  readonly dataCentres: number;
  /** Share of messages that are lost, 0 to 1. */
  readonly loss: number;
  /** Time until all members have the update; null after a timeout. */
  readonly allHaveItMs: number | null;
  /** Pushes, lost ones included, and received comparisons per member. */
  readonly messagesPerMember: number;
}

/** Size of the fleet and quality of its network. */
export interface DistributionOptions {
  readonly members: number;
  readonly dataCentres: number;
  /** Share of messages that are lost, 0 to 1. */
  readonly loss: number;
  readonly seed: number;
}

/** Peers in the own data centre that a member draws per round. */
const LOCAL_PEER_CANDIDATES = 8;
/** Peers in the whole fleet that a member draws per round. */
const REMOTE_PEER_CANDIDATES = 2;
/** Virtual time after which a run is given up. */
const TIMEOUT_MS = 60_000;

/** Draws the peers that a member may contact in one round. */
function drawPeers(
  self: number,
  options: DistributionOptions,
  rng: RandomSource,
): readonly number[] {
  const { members, dataCentres } = options;
  const membersPerDataCentre = Math.floor(members / dataCentres);
  const dataCentre = Math.floor(self / membersPerDataCentre);
  const peers: number[] = [];
  for (let index = 0; index < LOCAL_PEER_CANDIDATES; index++) {
    peers.push(
      dataCentre * membersPerDataCentre +
        rng.integerBelow(membersPerDataCentre),
    );
  }
  for (let index = 0; index < REMOTE_PEER_CANDIDATES; index++) {
    peers.push(rng.integerBelow(members));
  }
  return peers.filter((peer) => peer !== self && peer < members);
}

/** Lets two members compare their entries and exchange recent updates. */
function exchangeComparison(
  a: GossipState,
  b: GossipState | undefined,
  now: number,
): void {
  if (b === undefined) return;
  const comparison = a.compare(now);
  b.receive(comparison.recent, now);
  const reply = b.reply(comparison, now);
  a.receive(reply.recent, now);
  if (reply.buckets === undefined) return;
  const own = a.differing(reply.buckets, now);
  a.receive(b.differing(a.buckets(now), now), now);
  b.receive(own, now);
}

/** Spreads one update from one member to all, in virtual time. */
export function runDistribution(
  options: DistributionOptions,
): DistributionResult {
  const { members, loss } = options;
  const rng = createRandomSource(options.seed);
  const nodes = Array.from({ length: members }, () => createGossipState());
  const update = { topic: "bundle/fleet", version: 1, digest: "x" };
  nodes[0]?.receive([update], 0);
  const missing = new Set(nodes.map((_, index) => index));
  missing.delete(0);
  let messages = 0;
  let now = 0;
  while (missing.size > 0 && now < TIMEOUT_MS) {
    now += GOSSIP_PUSH_PERIOD_MS;
    const context = { now, random: rng.uniform };
    const sent: { readonly to: number }[] = [];
    for (const [index, node] of nodes.entries()) {
      const peers = drawPeers(index, options, rng);
      for (const { peer } of node.pushRound(peers, context)) {
        sent.push({ to: peer });
      }
      // Each member compares once per period; the rounds are staggered.
      const roundsPerPeriod = ANTI_ENTROPY_PERIOD_MS / GOSSIP_PUSH_PERIOD_MS;
      const isComparisonDue =
        (now / GOSSIP_PUSH_PERIOD_MS + index) % roundsPerPeriod === 0;
      if (!isComparisonDue || rng.uniform() < loss) continue;
      messages++;
      exchangeComparison(
        node,
        nodes[peers[rng.integerBelow(peers.length)] ?? 0],
        now,
      );
    }
    messages += sent.length;
    for (const { to } of sent) {
      if (rng.uniform() >= loss) nodes[to]?.receive([update], now);
    }
    for (const index of missing) {
      if (nodes[index]?.find("bundle/fleet")) missing.delete(index);
    }
  }
  return {
    measure: "distribution",
    members,
    dataCentres: options.dataCentres,
    loss,
    allHaveItMs: missing.size > 0 ? null : now,
    messagesPerMember: messages / members,
  };
}

/** Fleet sizes that the binary simulates. */
export const DISTRIBUTION_SIZES: readonly number[] = [
  36,
  144,
  576,
  2_304,
  9_216,
  18_000,
];
