/** Random draws from a given source, and hashing. */

/** Returns a number in [0, 1). */
export type Random = () => number;

/** Draws an integer in [0, bound). */
export function drawIndex(random: Random, bound: number): number {
  return Math.min(bound - 1, Math.floor(random() * bound));
}

/** Hashes a text to an unsigned 32-bit integer (FNV-1a, MurmurHash3 mix). */
export function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Draws one item in proportion to the weights; undefined if all are 0. */
export function drawWeighted<Item extends { readonly weight: number }>(
  items: readonly Item[],
  random: Random,
): Item | undefined {
  const total = items.reduce((sum, { weight }) => sum + weight, 0);
  if (total <= 0) return undefined;
  let remaining = random() * total;
  for (const item of items) {
    remaining -= item.weight;
    if (remaining < 0) return item;
  }
  return items.findLast(({ weight }) => weight > 0);
}
