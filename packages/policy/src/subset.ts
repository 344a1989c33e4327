/** Deterministic subsets by rendezvous hashing. */

import { hashText } from "./random.ts";

/** Keeps the `size` members with the highest hash together with `owner`. */
export function resolveSubset<Member extends { readonly id: string }>(
  members: readonly Member[],
  size: number,
  options: { readonly owner: string },
): readonly Member[] {
  if (members.length <= size) return members;
  const scored = members.map((member) => ({
    member,
    score: hashText(`${options.owner}/${member.id}`),
  }));
  scored.sort((a, b) => b.score - a.score);
  return scored.slice(0, size).map(({ member }) => member);
}
