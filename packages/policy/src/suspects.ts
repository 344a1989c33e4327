/**
 * Detects calls that crash the backend server that runs them. Every call that
 * was running when a backend server died is a suspect. Calls are identified by
 * digests that the node computes: equal requests must have the same digest at
 * every gate and ingress, and different requests different ones. A suspect is
 * rerun exclusively, with no other call at the same time; after a second death
 * it is quarantined until the deaths expire.
 */

import {
  MASS_FAILURE_DEATHS_MIN,
  MASS_FAILURE_SPAN_MAX_MS,
  MASS_FAILURE_WINDOW_MS,
  QUARANTINE_DEATHS_MIN,
  SUSPECT_TTL_MS,
  SUSPECTS_MAX,
} from "./constants.ts";

/** The death of a backend server. */
export interface Death {
  /** Unique id: instance and incarnation of the gate, and a counter. */
  readonly id: string;
  /** Instance whose backend server died. */
  readonly instance: string;
  /** Time of the death in ms. */
  readonly at: number;
  /** Digests of the calls that were running at the time. */
  readonly digests: readonly string[];
}

/** How a call is treated: run normally, run exclusively, or refused. */
export type Suspicion = "clear" | "isolate" | "quarantined";

/** Known deaths of backend servers and the suspect calls. */
export interface Suspects {
  /** Records a death; false if it was known already. */
  readonly record: (death: Death) => boolean;
  /** Whether no call is a suspect. */
  readonly isEmpty: () => boolean;
  /** Decides how a call with the digest is treated. */
  readonly suspicion: (digest: string, now: number) => Suspicion;
  /** Clears a suspect that ran exclusively without a crash. */
  readonly clear: (digest: string, now: number) => void;
}

/** Options of the detection. */
export interface SuspectsOptions {
  /**
   * Whether a suspect is checked by running it exclusively.
   * @default true
   */
  readonly isolate?: boolean;
}

/** Creates suspects with no known death. */
export function createSuspects(options: SuspectsOptions = {}): Suspects {
  const isolate = options.isolate ?? true;
  const deaths = new Map<string, Death>();
  const byDigest = new Map<string, Death[]>();
  const cleared = new Map<string, number>();

  function removeDeath(death: Death): void {
    deaths.delete(death.id);
    for (const digest of death.digests) {
      const remaining = (byDigest.get(digest) ?? []).filter((d) => d !== death);
      if (remaining.length > 0) byDigest.set(digest, remaining);
      else byDigest.delete(digest);
    }
  }

  function expire(now: number): void {
    for (const death of deaths.values()) {
      const expired = now - death.at > SUSPECT_TTL_MS;
      if (!expired && byDigest.size <= SUSPECTS_MAX) break;
      removeDeath(death);
    }
    for (const [digest, at] of cleared) {
      if (now - at <= SUSPECT_TTL_MS) break;
      cleared.delete(digest);
    }
  }

  function isPartOfMassFailure(death: Death): boolean {
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
      const uncleared = all.filter((death) => death.at > clearedAt);
      if (uncleared.length === 0) return "clear";
      // A call that was running at several deaths, at one of them as the only
      // call, is the cause, even if a mass failure happened at the same time.
      const diedExclusive = uncleared.some(({ digests }) =>
        digests.length === 1
      );
      if (diedExclusive && uncleared.length >= QUARANTINE_DEATHS_MIN) {
        return "quarantined";
      }
      // The deaths of a mass failure are close together. A call that was
      // running at deaths further apart is the cause.
      const times = uncleared.map(({ at }) => at);
      const spanMs = Math.max(...times) - Math.min(...times);
      if (spanMs > MASS_FAILURE_SPAN_MAX_MS) return "quarantined";
      const individual = uncleared.filter((death) =>
        !isPartOfMassFailure(death)
      );
      if (individual.length >= QUARANTINE_DEATHS_MIN) return "quarantined";
      // In a mass failure, a call that was running at several deaths is rerun
      // exclusively; a call that was running at a single death stays clear.
      const suspect = individual.length > 0 ||
        uncleared.length >= QUARANTINE_DEATHS_MIN;
      return suspect && isolate ? "isolate" : "clear";
    },
    clear: (digest, now) => {
      if (byDigest.has(digest)) cleared.set(digest, now);
    },
  };
}
