/**
 * Keeps room for calls further down. A service that is called again from
 * within its own calls stands still once all slots are held by runs that wait
 * for a slot; so runs that wait leave a share of the slots to deeper ones.
 */

import { NESTING_DEPTH_TTL_MS, NESTING_RESERVE_SHARE } from "./constants.ts";

/** Which runs wait for others, and how many of them may run. */
export interface Nesting {
  /** Records the depth of offered work. */
  readonly recordDepth: (depth: number, now: number) => void;
  /** Records that a kind makes calls further down. */
  readonly recordNestedCalls: (kind: string) => void;
  readonly makesNestedCalls: (kind: string) => boolean;
  /** Share of the limit that waiting runs of a depth may hold, 0 to 1. */
  readonly maxNestedShare: (depth: number, now: number) => number;
}

/** Creates a record that knows no nesting. */
export function createNesting(): Nesting {
  const kinds = new Set<string>();
  const seenAt = new Map<number, number>();
  return {
    recordDepth: (depth, now) => {
      seenAt.set(depth, now);
    },
    recordNestedCalls: (kind) => {
      kinds.add(kind);
    },
    makesNestedCalls: (kind) => kinds.has(kind),
    maxNestedShare: (depth, now) => {
      let deeper = 0;
      for (const [other, at] of seenAt) {
        if (other > depth && now - at < NESTING_DEPTH_TTL_MS) deeper++;
      }
      return 1 - Math.min(0.5, deeper * NESTING_RESERVE_SHARE);
    },
  };
}
