/** Simulation of a fleet in virtual time, which measures the policy package. */

export * from "./run_scenario.ts";
export * from "./scenarios.ts";
export * from "./variants.ts";
export * from "./workload.ts";
