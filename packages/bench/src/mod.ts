/** Measurements of the policy in virtual time. */

export * from "./run_scenario.ts";
export * from "./scenarios.ts";
export * from "./variants.ts";
export * from "./workload.ts";
