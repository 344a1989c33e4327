/** Constants of bundles, with their units. */

/** Format name in an envelope; also part of what is signed. */
export const ENVELOPE_FORMAT = "coltsfootdeal-bundle/1";
/** Largest envelope, as the platform holds values of up to a megabyte. */
export const ENVELOPE_MAX_BYTES = 1_000_000;
/** Scope of a bundle that applies to all services. */
export const FLEET_SCOPE = "fleet";
/** Largest request or answer body that a kind may allow. */
export const BODY_MAX_BYTES = 8 * 1024 * 1024;
/** Body bound of a kind that states none. */
export const DEFAULT_BODY_MAX_BYTES = 1024 * 1024;
/** Highest rank that operators can give. */
export const RANK_MAX = 99;
/** Largest retry allowance of a call tree. */
export const RETRY_ALLOWANCE_MAX = 10;
