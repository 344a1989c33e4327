/** Test doubles of the platform, its key-value store and backend servers. */

export * from "./backend.ts";
export * from "./key_store.ts";
export * from "./mesh_backend.ts";
export * from "./mesh_settings.ts";
export * from "./mesh_values.ts";
export * from "./platform.ts";
export * from "./ports.ts";
