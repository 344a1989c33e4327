/** Priority levels: importance as one integer. Higher levels go first. */

import {
  LEVELS_PER_RANK,
  PROTECTED_LEVEL,
  WORTH_OCTAVES,
  WORTH_RANK_MAX,
} from "./constants.ts";

/** Whether a service's unprotected work is ordered by rank or by worth. */
export type PriorityOrder = "rank" | "worth";

/** What the level of a request depends on. */
export interface LevelInput {
  /** Rank of the kind, 0 to 99; higher is more important. */
  readonly rank: number;
  readonly protected: boolean;
  /** Worth of an answered request, relative to other kinds. */
  readonly weight: number;
  readonly order: PriorityOrder;
  /** Average time in ms for which a run holds its slot; 0 while unknown. */
  readonly slotMs: number;
}

/** Rank from 0 to 99 by worth per second of slot time, on a log scale. */
function worthRank(weight: number, slotMs: number): number {
  const perSecond = (weight * 1_000) / slotMs;
  const octave = Math.log2(Math.max(perSecond, Number.MIN_VALUE));
  const share = (octave + WORTH_OCTAVES / 2) / WORTH_OCTAVES;
  return Math.round(Math.min(1, Math.max(0, share)) * WORTH_RANK_MAX);
}

/**
 * Resolves the level of a request. Protected work is always ordered by rank;
 * other work by rank or, once its slot time is known, by worth per slot time.
 */
export function resolveLevel(input: LevelInput): number {
  const { rank, weight, slotMs } = input;
  if (input.protected) return PROTECTED_LEVEL + rank * LEVELS_PER_RANK;
  const byWorth = input.order === "worth" && slotMs > 0;
  return (byWorth ? worthRank(weight, slotMs) : rank) * LEVELS_PER_RANK;
}

/**
 * Resolves the level of a nested call from the level of its parent and its own.
 * A nested call goes before new requests of the same rank, because refusing it
 * wastes the work that its parent has done already.
 */
export function resolveChildLevel(parent: number, own: number): number {
  const base = Math.max(parent, own);
  const depth = Math.min(depthOf(parent) + 1, LEVELS_PER_RANK - 1);
  return base - depthOf(base) + depth;
}

/** Nesting depth of a call; the caller's request has depth 0. */
export function depthOf(level: number): number {
  return level % LEVELS_PER_RANK;
}

/** Whether a level belongs to a caller's request, not to a nested call. */
export function isRequestLevel(level: number): boolean {
  return depthOf(level) === 0;
}
