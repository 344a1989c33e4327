/** Levels: the order in which work gives way, as one whole number. */

import {
  LEVELS_PER_RANK,
  PROTECTED_LEVEL,
  WORTH_OCTAVES,
  WORTH_RANK_MAX,
} from "./constants.ts";

/** What orders a service's unprotected work. */
export type PriorityOrder = "rank" | "worth";

/** What a level is made from. */
export interface LevelInput {
  /** 0 to 99, higher is more important. */
  readonly rank: number;
  readonly protected: boolean;
  /** Worth of the answered request. */
  readonly weight: number;
  readonly order: PriorityOrder;
  /** Slot time of a run in ms; 0 while it is not known. */
  readonly slotMs: number;
}

/** A rank from 0 to 99 by worth per slot time, on a logarithmic scale. */
function worthRank(weight: number, slotMs: number): number {
  const perSecond = (weight * 1_000) / slotMs;
  const octave = Math.log2(Math.max(perSecond, Number.MIN_VALUE));
  const share = (octave + WORTH_OCTAVES / 2) / WORTH_OCTAVES;
  return Math.round(Math.min(1, Math.max(0, share)) * WORTH_RANK_MAX);
}

/**
 * The level of a request. Protected work is ordered by rank in any case;
 * other work by rank, or by what it is worth per slot time.
 */
export function resolveLevel(importance: LevelInput): number {
  const { rank, weight, slotMs } = importance;
  if (importance.protected) return PROTECTED_LEVEL + rank * LEVELS_PER_RANK;
  const byWorth = importance.order === "worth" && slotMs > 0;
  return (byWorth ? worthRank(weight, slotMs) : rank) * LEVELS_PER_RANK;
}

/**
 * The level of a call further down. It goes before new requests of the same
 * rank: slots have been spent on it already, and a refusal would waste them.
 */
export function resolveChildLevel(parent: number, own: number): number {
  const base = Math.max(parent, own);
  const depth = Math.min(depthOf(parent) + 1, LEVELS_PER_RANK - 1);
  return base - depthOf(base) + depth;
}

/** How far a call is from the caller's request, which is at 0. */
export function depthOf(level: number): number {
  return level % LEVELS_PER_RANK;
}

/** Whether a level is that of a caller's request, not of a call further down. */
export function isRequestLevel(level: number): boolean {
  return depthOf(level) === 0;
}
