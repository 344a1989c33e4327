import { test } from "vitest";
import { expectInvariants, runScenarioByName, WORKLOADS } from "./targets.ts";

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

for (const workload of WORKLOADS) {
  test.for(SEEDS)(
    `two disturbances at once, ${workload.name}, seed %i`,
    (seed) => {
      const options = { workload, seed, overload: 3, pressureMs: 4_000 };
      expectInvariants(runScenarioByName("pair", options));
    },
  );
}
