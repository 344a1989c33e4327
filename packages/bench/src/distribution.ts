/** How fast news spreads: rounds over growing fleets, and real nodes. */

import {
  ANTI_ENTROPY_PERIOD_MS,
  createGossipState,
  GOSSIP_PUSH_PERIOD_MS,
  type GossipState,
} from "@coltsfootdeal/policy";
import { createDraw, type Draw } from "./random.ts";

/** Result for one size of fleet. */
export interface DistributionResult {
  readonly measure: "distribution";
  readonly members: number;
  readonly dataCentres: number;
  readonly loss: number;
  /** Time until every member has the news, in ms; null = never. */
  readonly allHaveItMs: number | null;
  /** Pushes and comparisons sent per member until then. */
  readonly messagesPerMember: number;
}

/** What is to be run. */
export interface DistributionOptions {
  readonly members: number;
  readonly dataCentres: number;
  /** Share of messages that are lost. */
  readonly loss: number;
  readonly seed: number;
}

const LOCAL_PEERS = 8;
const REMOTE_PEERS = 2;
const LIMIT_MS = 60_000;

function drawPeers(
  self: number,
  options: DistributionOptions,
  draw: Draw,
): readonly number[] {
  const { members, dataCentres } = options;
  const perPlace = Math.floor(members / dataCentres);
  const place = Math.floor(self / perPlace);
  const peers: number[] = [];
  for (let index = 0; index < LOCAL_PEERS; index++) {
    peers.push(place * perPlace + draw.below(perPlace));
  }
  for (let index = 0; index < REMOTE_PEERS; index++) {
    peers.push(draw.below(members));
  }
  return peers.filter((peer) => peer !== self && peer < members);
}

function compare(
  a: GossipState,
  b: GossipState | undefined,
  now: number,
): void {
  if (b === undefined) return;
  const comparison = a.compare(now);
  b.receive(comparison.recent, now);
  a.receive(b.reply(comparison, now).recent, now);
}

/** Spreads one piece of news from one member to all, in virtual time. */
export function runDistribution(
  options: DistributionOptions,
): DistributionResult {
  const { members, loss } = options;
  const draw = createDraw(options.seed);
  const nodes = Array.from({ length: members }, () => createGossipState());
  const news = { topic: "bundle/fleet", version: 1, digest: "x" };
  nodes[0]?.receive([news], 0);
  const missing = new Set(nodes.map((_, index) => index));
  missing.delete(0);
  let messages = 0;
  let now = 0;
  while (missing.size > 0 && now < LIMIT_MS) {
    now += GOSSIP_PUSH_PERIOD_MS;
    const moment = { now, random: draw.unit };
    const sent: { readonly to: number }[] = [];
    for (const [index, node] of nodes.entries()) {
      const peers = drawPeers(index, options, draw);
      for (const { peer } of node.pushRound(peers, moment)) {
        sent.push({ to: peer });
      }
      // Each member compares once a period, not all in the same round.
      const rounds = ANTI_ENTROPY_PERIOD_MS / GOSSIP_PUSH_PERIOD_MS;
      const due = (now / GOSSIP_PUSH_PERIOD_MS + index) % rounds === 0;
      if (!due || draw.unit() < loss) continue;
      messages++;
      compare(node, nodes[peers[draw.below(peers.length)] ?? 0], now);
    }
    messages += sent.length;
    for (const { to } of sent) {
      if (draw.unit() >= loss) nodes[to]?.receive([news], now);
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

/** The sizes that are measured. */
export const DISTRIBUTION_SIZES: readonly number[] = [
  36,
  144,
  576,
  2_304,
  9_216,
  18_000,
];
