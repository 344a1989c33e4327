/** Selection of the peers with which an agent exchanges gossip. */

import { drawIndex, type ListedInstance } from "@coltsfootdeal/policy";
import { LOCAL_PEER_CANDIDATES, REMOTE_PEER_CANDIDATES } from "../constants.ts";

/** Selects control addresses of peers at random. */
export interface Peers {
  /** Replaces the known instances of the own and of other data centres. */
  readonly update: (known: {
    readonly local: readonly ListedInstance[];
    readonly remote: readonly ListedInstance[];
  }) => void;
  /** Returns a few random peers, or all seeds while no peers are known. */
  readonly sample: () => readonly string[];
  /** Returns all peers of the node's own data centre. */
  readonly local: () => readonly string[];
  /** Returns a few random peers of other data centres. */
  readonly sampleRemote: () => readonly string[];
  /**
   * Adds the address of a node that this node heard from to the seeds, which
   * serve as peers only while no others are known. The oldest seed may be
   * dropped.
   */
  readonly addSeed: (address: string) => void;
  /** Returns a few random seeds. */
  readonly sampleSeeds: () => readonly string[];
}

/** Largest number of seeds, which serve as peers until the list is known. */
const SEEDS_MAX = 16;
/** Number of seeds that `sampleSeeds` returns. */
const SEEDS_PER_ROUND = 3;

/** Picks up to `count` addresses; fewer if the random stride repeats some. */
function sampleAddresses(
  addresses: readonly string[],
  count: number,
): readonly string[] {
  if (addresses.length <= count) return addresses;
  const start = drawIndex(Math.random, addresses.length);
  const stride = 1 + drawIndex(Math.random, addresses.length - 1);
  const selected = new Set<string>();
  for (let index = 0; index < count; index++) {
    const address = addresses[(start + index * stride) % addresses.length];
    if (address !== undefined) selected.add(address);
  }
  return [...selected];
}

/** Creates the peers of a node that knows only its seeds. */
export function createPeers(
  ownAddress: string,
  initialSeeds: readonly string[],
): Peers {
  let local: readonly string[] = [];
  let remote: readonly string[] = [];
  let seeds: readonly string[] = initialSeeds;

  function peerAddresses(instances: readonly ListedInstance[]) {
    const addresses = new Set(instances.map(({ control }) => control));
    addresses.delete(ownAddress);
    return [...addresses];
  }

  return {
    update: (known) => {
      local = peerAddresses(known.local);
      remote = peerAddresses(known.remote);
    },
    sample: () => {
      const selected = [
        ...sampleAddresses(local, LOCAL_PEER_CANDIDATES),
        ...sampleAddresses(remote, REMOTE_PEER_CANDIDATES),
      ];
      return selected.length > 0 ? selected : seeds;
    },
    local: () => local,
    sampleRemote: () => sampleAddresses(remote, REMOTE_PEER_CANDIDATES),
    addSeed: (address) => {
      if (address === ownAddress || seeds.includes(address)) return;
      seeds = [...seeds, address].slice(-SEEDS_MAX);
    },
    sampleSeeds: () => sampleAddresses(seeds, SEEDS_PER_ROUND),
  };
}
