/** The library for callers. */

export * from "./client.ts";
