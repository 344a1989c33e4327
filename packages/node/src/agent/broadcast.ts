/**
 * Passes on what a reader has read from the platform. In a small data centre it
 * informs every node itself; in a large one it leaves that to gossip.
 */

import type { Clock } from "@coltsfootdeal/kernel";
import type { GossipState, ListedInstance, News } from "@coltsfootdeal/policy";
import type { ControlClient } from "./control_client.ts";
import type { Peers } from "./peers.ts";

/** Resolved configuration of a broadcast. */
export interface BroadcastConfig {
  readonly ownControlAddress: string;
  readonly dataCentre: string;
  readonly clock: Clock;
  readonly gossip: GossipState;
  readonly peers: Peers;
  readonly control: ControlClient;
  /** Pushes the pending news to random peers. */
  readonly pushRecentNews: () => void;
}

/** Passes on pending news. */
export interface Broadcast {
  /**
   * Sends the pending news. `changed` lists the instances whose entries are
   * among it; a few of them are informed at once in any case, since a gate has
   * to know that its backend server is leaving.
   */
  readonly send: (changed: readonly ListedInstance[]) => void;
  /**
   * Records a node that asked whether its knowledge is current. It is informed
   * like a listed one for a while.
   */
  readonly recordAsker: (address: string) => void;
  readonly close: () => void;
}

/**
 * Nodes of a data centre up to which a reader informs all of them itself. Gossip
 * reaches more of them with less work for the reader, but each node then sends
 * and receives every change several times.
 */
const INFORMED_PEERS_MAX = 64;
/** Changed entries up to which the nodes they are about are informed at once. */
const CHANGED_INSTANCES_MAX = 16;
/** Delay before a reader passes changes on to other data centres. */
const REMOTE_PUSH_DELAY_MS = 300;
/** Time for which a node is informed after it asked. */
const ASKER_TTL_MS = 3_000;

/** Creates a broadcast. */
export function createBroadcast(config: BroadcastConfig): Broadcast {
  const { clock, gossip, peers, control } = config;
  /** Control addresses of nodes that asked, with the time of the latest. */
  const askedAt = new Map<string, number>();
  let closed = false;

  function askers(): readonly string[] {
    const now = clock.now();
    for (const [address, at] of askedAt) {
      if (now - at > ASKER_TTL_MS) askedAt.delete(address);
    }
    return [...askedAt.keys()];
  }

  /** Informs a peer; once more if its connection turns out to be dead. */
  async function inform(address: string, news: readonly News[]): Promise<void> {
    const informed = await control.inform(address, news);
    if (informed.isErr() && !closed) await control.inform(address, news);
  }

  function informAll(
    addresses: readonly string[],
    news: readonly News[],
  ): void {
    for (const address of new Set(addresses)) {
      if (address !== config.ownControlAddress) inform(address, news);
    }
  }

  return {
    send: (changed) => {
      const concerned = changed.length > CHANGED_INSTANCES_MAX
        ? []
        : changed.filter(({ dataCentre }) => dataCentre === config.dataCentre);
      const addresses = concerned.map((instance) => instance.control);
      const local = peers.local();
      if (local.length > INFORMED_PEERS_MAX) {
        informAll(addresses, gossip.pending(clock.now()));
        return config.pushRecentNews();
      }
      const news = gossip.takePending(clock.now());
      if (news.length === 0) return;
      informAll([...local, ...askers(), ...addresses], news);
      // Other data centres have readers of their own. If these fail, the news
      // is new to a node there, which then passes it on by gossip.
      clock.after(REMOTE_PUSH_DELAY_MS, () => {
        if (closed) return;
        for (const peer of peers.sampleRemote()) control.push(peer, news);
      });
    },
    recordAsker: (address) => {
      if (!askedAt.has(address) && askers().length >= INFORMED_PEERS_MAX) {
        return;
      }
      askedAt.set(address, clock.now());
    },
    close: () => {
      closed = true;
    },
  };
}
