/** Simulation of a fleet in virtual time, used to measure the policy. */

export * from "./run_scenario.ts";
export * from "./scenarios.ts";
export * from "./variants.ts";
export * from "./workload.ts";
