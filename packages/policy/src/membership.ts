/**
 * Tracks which instances exist and which are leaving. The platform's list lags
 * behind, so an instance counts as leaving if either the list or a fact that
 * the instance publishes about itself says so. Facts about an older incarnation
 * are ignored.
 */

import { LEAVING_FACT_TTL_MS } from "./constants.ts";
import {
  isSameListing,
  type ListedEntry,
  type ListedInstance,
  selectBackends,
  selectNodes,
} from "./listed_entry.ts";
import type { Upstream } from "./upstream.ts";

/** State that an instance publishes about itself, directly or by gossip. */
export interface InstanceFact {
  readonly id: string;
  /** Start time in Unix ms and a random suffix; ordered by start time. */
  readonly incarnation: string;
  readonly leaving: boolean;
}

/** The instances known to a node. */
export interface Membership {
  /** Applies an entry of the platform's list; false if nothing changes. */
  readonly applyListed: (entry: ListedEntry) => boolean;
  /** Applies a fact; false if nothing changes. */
  readonly applyFact: (fact: InstanceFact, now: number) => boolean;
  /**
   * Instances of a service that are not leaving; one for each backend server,
   * though the list may still have an earlier id of it.
   */
  readonly upstreams: (service: string, now: number) => readonly Upstream[];
  /** One live entry for each node of a data centre. */
  readonly members: (dataCentre: string) => readonly ListedEntry[];
  /** Number of nodes that have entries. */
  readonly nodeCount: () => number;
  /** The listed entry of an instance. */
  readonly find: (id: string) => ListedInstance | undefined;
  /** All listed instances. */
  readonly all: () => readonly ListedEntry[];
  /** Services that have or had listed instances. */
  readonly services: () => readonly string[];
}

interface Entry {
  listed: ListedEntry | undefined;
  incarnation: string;
  leavingAt: number | undefined;
}

function startTimeOf(incarnation: string): number {
  return Number.parseInt(incarnation, 10) || 0;
}

/** Creates an empty membership. */
export function createMembership(): Membership {
  const entries = new Map<string, Entry>();
  const byService = new Map<string, Set<string>>();
  /** Results of `nodeCount` and `members` until an entry changes. */
  let nodeCount: number | undefined;
  const membersOf = new Map<string, readonly ListedEntry[]>();

  function entryOf(id: string): Entry {
    const known = entries.get(id);
    if (known) return known;
    const entry = { listed: undefined, incarnation: "", leavingAt: undefined };
    entries.set(id, entry);
    return entry;
  }

  function all(): readonly ListedEntry[] {
    return [...entries.values()].flatMap(({ listed }) => listed ?? []);
  }

  function isLeaving({ listed, leavingAt }: Entry, now: number): boolean {
    if (listed?.state === "leaving") return true;
    return leavingAt !== undefined && now - leavingAt < LEAVING_FACT_TTL_MS;
  }

  return {
    applyListed: (instance) => {
      nodeCount = undefined;
      membersOf.clear();
      const entry = entryOf(instance.id);
      const before = entry.listed;
      if (before && before.service !== instance.service) {
        byService.get(before.service)?.delete(instance.id);
      }
      if (instance.state === "gone") {
        byService.get(instance.service)?.delete(instance.id);
        return entries.delete(instance.id);
      }
      if (before && before.startedAt !== instance.startedAt) {
        // A backend server that started again is not leaving any more.
        entry.leavingAt = undefined;
      }
      entry.listed = instance;
      const ids = byService.get(instance.service) ?? new Set();
      byService.set(instance.service, ids.add(instance.id));
      return before === undefined || !isSameListing(before, instance);
    },
    applyFact: (fact, now) => {
      const entry = entries.get(fact.id);
      if (entry === undefined) return false;
      const startDifference = startTimeOf(fact.incarnation) -
        startTimeOf(entry.incarnation);
      if (startDifference < 0) return false;
      const sameIncarnation = fact.incarnation === entry.incarnation;
      const wasLeaving = entry.leavingAt !== undefined;
      if (sameIncarnation && (wasLeaving || !fact.leaving)) return false;
      entry.incarnation = fact.incarnation;
      entry.leavingAt = fact.leaving ? now : undefined;
      return true;
    },
    upstreams: (service, now) => {
      const list: Upstream[] = [];
      const ids = [...byService.get(service) ?? []];
      const listed = ids.flatMap((id) => entries.get(id)?.listed ?? []);
      for (
        const { id, dataCentre, address, startedAt } of selectBackends(listed)
      ) {
        const entry = entries.get(id);
        if (entry === undefined || isLeaving(entry, now)) continue;
        const { incarnation } = entry;
        list.push({
          id,
          service,
          dataCentre,
          address,
          incarnation,
          ...(startedAt === undefined ? {} : { startedAt }),
        });
      }
      return list;
    },
    members: (dataCentre) => {
      const known = membersOf.get(dataCentre);
      if (known !== undefined) return known;
      const local = all().filter((entry) => entry.dataCentre === dataCentre);
      const members = selectNodes(local);
      membersOf.set(dataCentre, members);
      return members;
    },
    nodeCount: () => {
      nodeCount ??= new Set(all().map(({ control }) => control)).size;
      return nodeCount;
    },
    find: (id) => entries.get(id)?.listed,
    all,
    services: () => [...byService.keys()],
  };
}
