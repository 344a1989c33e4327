/**
 * Selects the readers: the nodes of a data centre that watch the platform for
 * changes. The others receive the changes by gossip.
 */

import {
  READER_PROBE_FAILURES,
  READER_SUSPECT_TTL_MS,
  READERS_PER_DATA_CENTRE,
  STANDBY_READERS_PER_DATA_CENTRE,
} from "./constants.ts";
import { resolveRanking } from "./subset.ts";

/** Role of a node towards the platform. */
export type ReaderRole<Member> =
  | { readonly kind: "reader" }
  /** Probes the nodes selected before it, to replace one that fails. */
  | { readonly kind: "standby"; readonly probe: readonly Member[] }
  | { readonly kind: "none" };

/** Selects readers by rendezvous hashing among the members that respond. */
export interface ReaderSelection<Member> {
  /** The role of this node at present. */
  readonly role: (
    members: readonly Member[],
    now: number,
  ) => ReaderRole<Member>;
  /** Records the result of a probe. */
  readonly recordProbe: (id: string, answered: boolean, now: number) => void;
}

/** Creates the selection as computed by the instance `self`. */
export function createReaderSelection<Member extends { readonly id: string }>(
  self: string,
  options: { readonly dataCentre: string },
): ReaderSelection<Member> {
  const failures = new Map<string, number>();
  const suspectUntil = new Map<string, number>();

  return {
    role: (members, now) => {
      const alive = members.filter(({ id }) =>
        (suspectUntil.get(id) ?? -Infinity) <= now
      );
      const first = resolveRanking(alive, { hashKey: options.dataCentre })
        .slice(0, READERS_PER_DATA_CENTRE + STANDBY_READERS_PER_DATA_CENTRE);
      const position = first.findIndex(({ id }) => id === self);
      // Without any node that responds, this node reads the platform itself.
      const selfUnknown = !members.some(({ id }) => id === self);
      if (members.length === 0 || selfUnknown && alive.length === 0) {
        return { kind: "reader" };
      }
      if (position < 0) return { kind: "none" };
      if (position < READERS_PER_DATA_CENTRE) return { kind: "reader" };
      return { kind: "standby", probe: first.slice(0, position) };
    },
    recordProbe: (id, answered, now) => {
      if (answered) {
        failures.delete(id);
        return;
      }
      const count = (failures.get(id) ?? 0) + 1;
      failures.set(id, count);
      if (count < READER_PROBE_FAILURES) return;
      failures.delete(id);
      suspectUntil.set(id, now + READER_SUSPECT_TTL_MS);
    },
  };
}
