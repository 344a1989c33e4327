/** Helpers of the tests that run scenarios, and the checks they share. */

import { expect } from "vitest";
import {
  type RunOptions,
  type RunResult,
  runScenario,
} from "../run_scenario.ts";
import { VARIANTS } from "../variants.ts";
import { createMalabar, createSeloVerde, type Workload } from "../workload.ts";

/** Workloads of both deployments. */
export const WORKLOADS: readonly Workload[] = [
  createSeloVerde(),
  createMalabar(),
];

/**
 * Runs a scenario with the policy of this project, or with the variant that
 * `baseline` names.
 */
export function runScenarioByName(
  scenario: string,
  options: Partial<RunOptions> & { readonly baseline?: string },
): RunResult {
  const name = options.baseline ?? "coltsfootdeal";
  const variant = VARIANTS.find((candidate) => candidate.name === name);
  if (variant === undefined) throw new Error(`no variant ${name}`);
  const result = runScenario({
    scenario,
    workload: createSeloVerde(),
    variant,
    seed: 1,
    overload: 2,
    pressureMs: 5_000,
    ...options,
  });
  if (result === undefined) throw new Error(`no scenario ${scenario}`);
  return result;
}

/** Checks what must hold in every scenario and for every seed. */
export function expectInvariants(result: RunResult): void {
  const { scenario, disturbances, deployment, seed } = result;
  const runLabels = { scenario, disturbances, deployment, seed };
  const { duplicateRuns, falseNotRun, wrongAnswers, cutInFlight } = result;
  const { rankInversions } = result;
  expect({
    ...runLabels,
    rankInversions,
    duplicateRuns,
    falseNotRun,
    wrongAnswers,
    cutInFlight,
  }).toEqual({
    ...runLabels,
    rankInversions: 0,
    duplicateRuns: 0,
    falseNotRun: 0,
    wrongAnswers: 0,
    cutInFlight: 0,
  });
  expect(result.newWorkAfterLeavingMs).toBeLessThanOrEqual(3_000);
  expect(result.crashesPerPoison).toBeLessThanOrEqual(2);
  // One run and up to three retries, the largest retry allowance in the bundles
  // of the workloads.
  expect(result.maxAttemptsPerRoot).toBeLessThanOrEqual(4);
}
