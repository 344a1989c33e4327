/** A node, for embedding in platform adapters, tests, demos and benchmarks. */

export * from "./admin/audit.ts";
export * from "./headers.ts";
export * from "./log.ts";
export * from "./node.ts";
export * from "./node_types.ts";
export * from "./ports.ts";
export type { BundleValidator, ValidatedBundle } from "./agent/bundle_store.ts";
export type { Feed, FeedSinks, PlatformInstance } from "./agent/feed.ts";
export {
  createKeyValueFeed,
  type StoreChange,
  type StoreChanges,
  type StoreError,
  type StorePage,
  type StoreReader,
} from "./agent/key_feed.ts";
export type { Answer } from "./answer.ts";
export type {
  BackendCall,
  BackendServer,
  RunResult,
} from "./gate/backend_server.ts";
export type { HttpClient, HttpResult } from "./http_client.ts";
export type { HeaderFields, Payload } from "./payload.ts";
export { STORE_TIMEOUT_MS } from "./constants.ts";
export * from "./settings.ts";
export { createSystemClock } from "@coltsfootdeal/kernel";
export type { Clock } from "@coltsfootdeal/kernel";
