/**
 * Calls that may crash the backend server that runs them. Every call that was
 * running when a backend server died is a suspect, known by the digest of its
 * kind and body. A suspect reruns alone; after the second death it is
 * quarantined for a while.
 */

import {
  MASS_FAILURE_DEATHS_MIN,
  MASS_FAILURE_SPAN_MAX_MS,
  MASS_FAILURE_WINDOW_MS,
  SUSPECT_DEATHS_MAX,
  SUSPECT_TTL_MS,
  SUSPECTS_MAX,
} from "./constants.ts";

/** The death of a backend server. */
export interface Death {
  /** Unique: instance and incarnation of the gate, and a count. */
  readonly id: string;
  /** Instance whose backend server died. */
  readonly instance: string;
  readonly at: number;
  /** Digests of the calls that were running. */
  readonly digests: readonly string[];
}

/** How a call has to be treated. */
export type Suspicion = "clear" | "alone" | "quarantined";

/** Known deaths and the calls they cast suspicion on. */
export interface Suspects {
  /** Records a death; false if it was known. */
  readonly record: (death: Death) => boolean;
  /** Whether no death is known, so that every call is clear. */
  readonly isEmpty: () => boolean;
  readonly suspicion: (digest: string, now: number) => Suspicion;
  /** Clears a suspect that ran alone without harm. */
  readonly clear: (digest: string, now: number) => void;
}

/** Options of a record. */
export interface SuspectsOptions {
  /**
   * Whether a suspect is checked by running it with no other call beside it.
   * @default true
   */
  readonly isolate?: boolean;
}

/** Creates an empty record. */
export function createSuspects(options: SuspectsOptions = {}): Suspects {
  const isolate = options.isolate ?? true;
  const deaths = new Map<string, Death>();
  const byDigest = new Map<string, Death[]>();
  const cleared = new Map<string, number>();

  function removeDeath(death: Death): void {
    deaths.delete(death.id);
    for (const digest of death.digests) {
      const rest = (byDigest.get(digest) ?? []).filter((d) => d !== death);
      if (rest.length > 0) byDigest.set(digest, rest);
      else byDigest.delete(digest);
    }
  }

  function expire(now: number): void {
    for (const death of deaths.values()) {
      const old = now - death.at > SUSPECT_TTL_MS;
      if (!old && byDigest.size <= SUSPECTS_MAX) break;
      removeDeath(death);
    }
    for (const [digest, at] of cleared) {
      if (now - at <= SUSPECT_TTL_MS) break;
      cleared.delete(digest);
    }
  }

  function isMassFailure(death: Death): boolean {
    const instances = new Set<string>();
    for (const other of deaths.values()) {
      const near = Math.abs(other.at - death.at) <= MASS_FAILURE_WINDOW_MS;
      if (near) instances.add(other.instance);
    }
    return instances.size >= MASS_FAILURE_DEATHS_MIN;
  }

  return {
    record: (death) => {
      if (deaths.has(death.id)) return false;
      deaths.set(death.id, death);
      for (const digest of death.digests) {
        const list = byDigest.get(digest) ?? [];
        byDigest.set(digest, [...list, death]);
      }
      return true;
    },
    isEmpty: () => byDigest.size === 0,
    suspicion: (digest, now) => {
      expire(now);
      const all = byDigest.get(digest) ?? [];
      const clearedAt = cleared.get(digest) ?? -Infinity;
      const open = all.filter((death) => death.at > clearedAt);
      if (open.length === 0) return "clear";
      // A call that died once and then took a backend server with it while it
      // ran alone is the cause, whatever else failed at the time.
      const alone = open.some(({ digests }) => digests.length === 1);
      if (alone && open.length >= SUSPECT_DEATHS_MAX) return "quarantined";
      // A mass failure strikes once: who was there again later was the cause.
      const times = open.map(({ at }) => at);
      const spread = Math.max(...times) - Math.min(...times);
      if (spread > MASS_FAILURE_SPAN_MAX_MS) return "quarantined";
      const singled = open.filter((death) => !isMassFailure(death));
      if (singled.length >= SUSPECT_DEATHS_MAX) return "quarantined";
      // A call that was present at several deaths of a mass failure is
      // checked alone, one that was present at a single one is not.
      const suspect = singled.length > 0 || open.length >= SUSPECT_DEATHS_MAX;
      return suspect && isolate ? "alone" : "clear";
    },
    clear: (digest, now) => {
      if (byDigest.has(digest)) cleared.set(digest, now);
    },
  };
}
