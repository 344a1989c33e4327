/** The node, for embedding in tests, demos and measurements. */

export * from "./admin/audit.ts";
export * from "./headers.ts";
export * from "./log.ts";
export * from "./node.ts";
export * from "./node_types.ts";
export * from "./settings.ts";
export { createSystemClock } from "@coltsfootdeal/kernel";
export type { Clock } from "@coltsfootdeal/kernel";
