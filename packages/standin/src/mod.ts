/**
 * Test doubles of the platform and of backend servers, in two sets.
 * `platform.ts` and `backend.ts` serve nodes that run with the adapter of
 * `packages/node`; `key_store.ts` and the `mesh_*` files serve nodes that run
 * with the adapter in `platform/`.
 */

export * from "./backend.ts";
export * from "./key_store.ts";
export * from "./mesh_backend.ts";
export * from "./mesh_settings.ts";
export * from "./mesh_values.ts";
export * from "./platform.ts";
export * from "./ports.ts";
export * from "./proxy.ts";
