/** Stand-ins for the platform and for backend servers. */

export * from "./backend.ts";
export * from "./key_store.ts";
export * from "./mesh_backend.ts";
export * from "./mesh_settings.ts";
export * from "./mesh_values.ts";
export * from "./platform.ts";
export * from "./ports.ts";
