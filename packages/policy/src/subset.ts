/** Deterministic subsets by rendezvous hashing. */

import { hashText } from "./random.ts";

/** Orders members by the hash of `hashKey` and id, highest first. */
export function resolveRanking<Member extends { readonly id: string }>(
  members: readonly Member[],
  options: { readonly hashKey: string },
): readonly Member[] {
  const scored = members.map((member) => ({
    member,
    score: hashText(`${options.hashKey}/${member.id}`),
  }));
  scored.sort((a, b) => b.score - a.score);
  return scored.map(({ member }) => member);
}

/** Returns the `size` members with the highest hash of `hashKey` and id. */
export function resolveSubset<Member extends { readonly id: string }>(
  members: readonly Member[],
  size: number,
  options: { readonly hashKey: string },
): readonly Member[] {
  if (members.length <= size) return members;
  return resolveRanking(members, options).slice(0, size);
}
