import { expect, test } from "vitest";
import { expectInvariants, runScenarioByName, WORKLOADS } from "./targets.ts";

const SCENARIO = "deep-slow";

for (const workload of WORKLOADS) {
  test(
    `${SCENARIO} at 10 times capacity keeps goodput and recovers, ${workload.name}`,
    () => {
      const options = { workload, overload: 10, pressureMs: 30_000 };
      const result = runScenarioByName(SCENARIO, options);
      expectInvariants(result);
      expect(result.goodputRatio).toBeGreaterThanOrEqual(0.95);
      expect(result.recoveryMs ?? Infinity).toBeLessThanOrEqual(1_000);
    },
    600_000,
  );
}
