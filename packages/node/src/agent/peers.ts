/** The peers that an agent talks to. */

import { drawIndex, type ListedInstance } from "@coltsfootdeal/policy";
import { LOCAL_PEER_CANDIDATES, REMOTE_PEER_CANDIDATES } from "../constants.ts";

/** Draws control addresses of peers. */
export interface Peers {
  /** Replaces the known instances of the own and of other data centres. */
  readonly update: (known: {
    readonly local: readonly ListedInstance[];
    readonly remote: readonly ListedInstance[];
  }) => void;
  /** A few random peers, or the seeds while none are known. */
  readonly draw: () => readonly string[];
  /** Adds a peer that made itself known, for as long as no others are. */
  readonly addSeed: (address: string) => void;
  /** A few random seeds. */
  readonly drawSeeds: () => readonly string[];
}

/** Peers that are remembered while the instance list is not known. */
const SEEDS_MAX = 16;
/** Seeds that are asked in one round. */
const SEEDS_PER_ROUND = 3;

function sample(from: readonly string[], count: number): readonly string[] {
  if (from.length <= count) return from;
  const start = drawIndex(Math.random, from.length);
  const stride = 1 + drawIndex(Math.random, from.length - 1);
  const drawn = new Set<string>();
  for (let index = 0; index < count; index++) {
    const peer = from[(start + index * stride) % from.length];
    if (peer !== undefined) drawn.add(peer);
  }
  return [...drawn];
}

/** Creates the peers of a node that knows its seeds only. */
export function createPeers(
  self: string,
  seeds: readonly string[],
): Peers {
  let local: readonly string[] = [];
  let remote: readonly string[] = [];
  let known: readonly string[] = seeds;

  function addresses(instances: readonly ListedInstance[]) {
    return instances.map(({ control }) => control).filter((a) => a !== self);
  }

  return {
    update: (known) => {
      local = addresses(known.local);
      remote = addresses(known.remote);
    },
    draw: () => {
      const drawn = [
        ...sample(local, LOCAL_PEER_CANDIDATES),
        ...sample(remote, REMOTE_PEER_CANDIDATES),
      ];
      return drawn.length > 0 ? drawn : known;
    },
    addSeed: (address) => {
      if (address === self || known.includes(address)) return;
      known = [...known, address].slice(-SEEDS_MAX);
    },
    drawSeeds: () => sample(known, SEEDS_PER_ROUND),
  };
}
