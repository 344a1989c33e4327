/** Limits and names of the bundle format. */

/** Format name in an envelope; also part of the signed bytes. */
export const ENVELOPE_FORMAT = "coltsfootdeal-bundle/1";
/** Largest envelope; the platform stores values of up to a megabyte. */
export const ENVELOPE_MAX_BYTES = 1_000_000;
/** Scope of a bundle that applies to all services. */
export const FLEET_SCOPE = "fleet";
/** Upper bound of a kind's `body_max_bytes`. */
export const BODY_MAX_BYTES = 8 * 1024 * 1024;
/** Default of a kind's `body_max_bytes`. */
export const DEFAULT_BODY_MAX_BYTES = 1024 * 1024;
/** Highest rank of a kind. */
export const RANK_MAX = 99;
/** Upper bound of a kind's `retry_allowance`. */
export const RETRY_ALLOWANCE_MAX = 10;
