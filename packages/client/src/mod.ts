/** Client library for callers: sends calls and reports their outcome. */

export * from "./client.ts";
