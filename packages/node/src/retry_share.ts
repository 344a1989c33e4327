/** Share of the fleet's retry budget that one node may use. */

import type { RetryBudgetOptions } from "@coltsfootdeal/policy";
import { DIRECT_RETRY_SHARE } from "./constants.ts";
import type { RetryBounds } from "./settings.ts";

/**
 * Resolves the options of this node's retry budget from the fleet's bounds; the
 * defaults apply if there are none. A part of the bounds is reserved, see
 * DIRECT_RETRY_SHARE.
 */
export function resolveRetryBudget(
  bounds: () => RetryBounds | undefined,
  fleetSize: () => number,
): RetryBudgetOptions {
  if (bounds() === undefined) return {};
  const directShare = (total: number) => total * DIRECT_RETRY_SHARE;
  return {
    ratio: () => directShare(bounds()?.ratio ?? 0),
    burst: () => Math.max(1, directShare(bounds()?.slack ?? 0) / fleetSize()),
  };
}
