/**
 * Reserves slots for nested calls. If a service is called again from within its
 * own calls, it deadlocks once all slots are held by runs that wait for a slot.
 * So runs that make nested calls leave a share of the slots to deeper calls.
 */

import { NESTING_DEPTH_TTL_MS, NESTING_RESERVE_SHARE } from "./constants.ts";

/** Tracks which kinds make nested calls and how many slots they may hold. */
export interface Nesting {
  /** Records the nesting depth of offered work. */
  readonly recordDepth: (depth: number, now: number) => void;
  /** Records that a kind makes nested calls. */
  readonly recordNestedCalls: (kind: string) => void;
  /** Whether a kind is known to make nested calls. */
  readonly makesNestedCalls: (kind: string) => boolean;
  /**
   * Share of the concurrency limit that runs with nested calls may hold when
   * work of nesting depth `depth` starts, 0.5 to 1.
   */
  readonly maxNestedShare: (depth: number, now: number) => number;
}

/** Creates a state with no known nested calls. */
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
      let greaterDepths = 0;
      for (const [other, at] of seenAt) {
        if (other > depth && now - at < NESTING_DEPTH_TTL_MS) greaterDepths++;
      }
      return 1 - Math.min(0.5, greaterDepths * NESTING_RESERVE_SHARE);
    },
  };
}
