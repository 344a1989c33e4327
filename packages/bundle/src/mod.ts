/** Bundles: types, validation, lookup, differences and signatures. */

export * from "./bundle.ts";
export * from "./catalog.ts";
export * from "./check.ts";
export * from "./constants.ts";
export * from "./diff.ts";
export * from "./envelope.ts";
export * from "./fault.ts";
export * from "./fields.ts";
export * from "./keys.ts";
export * from "./sections.ts";
