import { expect, test } from "vitest";
import { createMalabar } from "../workload.ts";
import { SCENARIOS } from "../scenarios.ts";
import { expectInvariants, runScenarioByName, WORKLOADS } from "./targets.ts";

const NAMES = SCENARIOS.filter((name) => name !== "pair");

for (const workload of WORKLOADS) {
  test.for(NAMES)(`%s keeps the invariants, ${workload.name}`, (scenario) => {
    expectInvariants(runScenarioByName(scenario, { workload }));
  });

  test(`other kinds keep their goodput when the least urgent one floods, ${workload.name}`, () => {
    const result = runScenarioByName("flood-low", { workload, overload: 5 });
    expectInvariants(result);
    expect(result.otherKeptRatio).toBeGreaterThanOrEqual(0.95);
    expect(result.protectedAnsweredRatio).toBeGreaterThanOrEqual(0.999);
  });

  test(`protected work that fits is answered in a surge, ${workload.name}`, () => {
    const result = runScenarioByName("surge", { workload, overload: 2 });
    expect(result.protectedAnsweredRatio).toBeGreaterThanOrEqual(0.999);
    expect(result.recoveryMs ?? Infinity).toBeLessThanOrEqual(1_000);
  });

  test(`runs are deterministic by seed, ${workload.name}`, () => {
    const options = { workload, pressureMs: 1_000 };
    expect(runScenarioByName("surge", options)).toEqual(
      runScenarioByName("surge", options),
    );
  });
}

test("a baseline violates invariants that the policy keeps", () => {
  const options = { workload: createMalabar() };
  const baselineResult = runScenarioByName("poison", {
    ...options,
    baseline: "none",
  });
  expect(baselineResult.falseNotRun).toBeGreaterThan(0);
  expect(baselineResult.maxAttemptsPerRoot).toBeGreaterThan(4);
  const policyResult = runScenarioByName("poison", options);
  expectInvariants(policyResult);
  expect(policyResult.goodput).toBeGreaterThan(baselineResult.goodput);
});
