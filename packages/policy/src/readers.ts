/**
 * Selects the readers: the nodes of a data centre that watch the platform for
 * changes. The others receive the changes by gossip, so the load of the
 * platform grows with the number of data centres and not with that of nodes.
 */

import {
  READER_PROBE_FAILURES,
  READER_SUSPECT_TTL_MS,
  READERS_PER_DATA_CENTRE,
  STANDBY_READERS_PER_DATA_CENTRE,
  UNLISTED_MAX_MS,
} from "./constants.ts";
import { resolveRanking } from "./subset.ts";

/** Role of a node towards the platform. */
export type ReaderRole<Member> =
  | {
    readonly kind: "reader";
    /** Nodes ranked before it; empty unless it stands in for one of them. */
    readonly probe: readonly Member[];
  }
  /** Probes the nodes ranked before it, to replace one that fails. */
  | { readonly kind: "standby"; readonly probe: readonly Member[] }
  /**
   * No member of its data centre is known to this node, which has just started:
   * it lists the instances until it finds some.
   */
  | { readonly kind: "unlisted" }
  | { readonly kind: "none" };

/** What a role is decided from. */
export interface ReaderContext {
  /** Id of this node among the members; undefined if it is none of them. */
  readonly self: string | undefined;
  readonly now: number;
}

/** Selects readers by rendezvous hashing among the members that respond. */
export interface ReaderSelection<Member> {
  /** The role of this node at present, given the data centre's members. */
  readonly role: (
    members: readonly Member[],
    context: ReaderContext,
  ) => ReaderRole<Member>;
  /** Records whether a probed node answered that it reads the platform. */
  readonly recordProbe: (id: string, reads: boolean, now: number) => void;
}

/** Creates a selection at the start of the process. */
export function createReaderSelection<Member extends { readonly id: string }>(
  options: { readonly dataCentre: string; readonly now: number },
): ReaderSelection<Member> {
  const failures = new Map<string, number>();
  const suspectUntil = new Map<string, number>();

  function responds({ id }: Member, now: number): boolean {
    return (suspectUntil.get(id) ?? -Infinity) <= now;
  }

  return {
    role: (members, { self, now }) => {
      if (members.length === 0) {
        return now - options.now < UNLISTED_MAX_MS
          ? { kind: "unlisted" }
          : { kind: "reader", probe: [] };
      }
      // Only the first nodes by rank ever replace each other: if the platform
      // refuses all of them, it most likely refuses the rest as well.
      const candidates = resolveRanking(members, {
        hashKey: options.dataCentre,
      }).slice(0, READERS_PER_DATA_CENTRE + STANDBY_READERS_PER_DATA_CENTRE);
      const position = candidates.findIndex(({ id }) => id === self);
      if (position < 0) return { kind: "none" };
      if (position < READERS_PER_DATA_CENTRE) {
        return { kind: "reader", probe: [] };
      }
      const before = candidates.slice(0, position);
      const readers = before.filter((member) => responds(member, now));
      if (readers.length < READERS_PER_DATA_CENTRE) {
        return { kind: "reader", probe: before };
      }
      const first = candidates.slice(0, READERS_PER_DATA_CENTRE);
      const firstRespond = first.every((member) => responds(member, now));
      return { kind: "standby", probe: firstRespond ? first : before };
    },
    recordProbe: (id, reads, now) => {
      if (reads) {
        failures.delete(id);
        suspectUntil.delete(id);
        return;
      }
      const count = (failures.get(id) ?? 0) + 1;
      failures.set(id, count);
      if (count < READER_PROBE_FAILURES) return;
      suspectUntil.set(id, now + READER_SUSPECT_TTL_MS);
    },
  };
}
