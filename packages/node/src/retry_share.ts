/** The part of the fleet's retries that one node may spend. */

import type { RetryBudgetOptions } from "@coltsfootdeal/policy";
import { DIRECT_RETRY_SHARE } from "./constants.ts";
import type { RetryBounds } from "./settings.ts";

/**
 * The own share of what the fleet may send again. Half of it is left for
 * requests that a repeated run makes further down, which count as well.
 */
export function resolveRetryBudget(
  bounds: () => RetryBounds | undefined,
  fleetSize: () => number,
): RetryBudgetOptions {
  if (bounds() === undefined) return {};
  const share = (total: number) => total * DIRECT_RETRY_SHARE;
  return {
    ratio: () => share(bounds()?.ratio ?? 0),
    burst: () => Math.max(1, share(bounds()?.slack ?? 0) / fleetSize()),
  };
}
