/** Exponential backoff with full jitter. */

import { BACKOFF_BASE_MS, BACKOFF_MAX_MS } from "./constants.ts";
import type { Random } from "./random.ts";

/** Draws the delay in ms before retry number `retry`, counted from 1. */
export function drawBackoff(retry: number, random: Random): number {
  const ceiling = Math.min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2 ** (retry - 1));
  return random() * ceiling;
}
