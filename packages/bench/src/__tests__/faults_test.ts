import { expect, test } from "vitest";
import { createMalabar } from "../workload.ts";
import { SCENARIOS } from "../scenarios.ts";
import { expectInvariants, runScenarioByName, WORKLOADS } from "./targets.ts";

/** All scenarios except `pair`, which `pairs_test.ts` runs with many seeds. */
const FAULT_SCENARIOS = SCENARIOS.filter((name) => name !== "pair");

for (const workload of WORKLOADS) {
  test.for(FAULT_SCENARIOS)(
    `%s keeps the invariants, ${workload.name}`,
    (scenario) => {
      expectInvariants(runScenarioByName(scenario, { workload }));
    },
  );

  test(`other kinds keep their answers when the kind of the lowest rank floods, ${workload.name}`, () => {
    const result = runScenarioByName("flood-low", { workload, overload: 5 });
    expectInvariants(result);
    expect(result.otherKeptRatio).toBeGreaterThanOrEqual(0.95);
    expect(result.protectedAnsweredRatio).toBeGreaterThanOrEqual(0.999);
  });

  test(`protected calls within the capacity are answered in a surge, and goodput recovers, ${workload.name}`, () => {
    const result = runScenarioByName("surge", { workload, overload: 2 });
    expect(result.protectedAnsweredRatio).toBeGreaterThanOrEqual(0.999);
    expect(result.recoveryMs ?? Infinity).toBeLessThanOrEqual(1_000);
  });

  test(`two runs with the same options and seed give the same result, ${workload.name}`, () => {
    const options = { workload, pressureMs: 1_000 };
    expect(runScenarioByName("surge", options)).toEqual(
      runScenarioByName("surge", options),
    );
  });
}

test("a poison request violates invariants and lowers goodput without protection", () => {
  const options = { workload: createMalabar() };
  const baselineResult = runScenarioByName("poison", {
    ...options,
    // The baseline without admission control and with fixed retries.
    baseline: "none",
  });
  expect(baselineResult.falseNotRun).toBeGreaterThan(0);
  // Four runs, the first and three retries, are the policy's maximum with the
  // bundles of the workloads.
  expect(baselineResult.maxAttemptsPerRoot).toBeGreaterThan(4);
  const policyResult = runScenarioByName("poison", options);
  expectInvariants(policyResult);
  expect(policyResult.goodput).toBeGreaterThan(baselineResult.goodput);
});
