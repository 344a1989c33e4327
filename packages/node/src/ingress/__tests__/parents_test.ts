import fc from "fast-check";
import { expect, test } from "vitest";
import { createRunRegistry } from "../../chains.ts";
import { type CallOrigin, createParentInference } from "../parents.ts";

function openRuns(runs: readonly number[]) {
  const runRegistry = createRunRegistry();
  runs.forEach((deadlineAt, index) => {
    runRegistry.start(`run-${index}`, { level: 16, weight: 1, deadlineAt });
  });
  return runRegistry;
}

/** Infers the origin of calls of one kind while `runs` are in flight. */
function createScenario(runs: readonly number[], kind: string) {
  const runRegistry = openRuns(runs);
  const inference = createParentInference(runRegistry);
  return {
    runRegistry,
    inferAt: (now: number, deadlineAt: number): CallOrigin =>
      inference.infer({
        kind,
        requestedDeadlineMs: deadlineAt - now,
        deadlineAt,
      }),
  };
}

test("infers the run whose deadline a nested call has", () => {
  const calls = createScenario([1_000, 1_200, 1_400], "inner");
  for (let now = 0; now < 20; now++) calls.inferAt(now, 1_201);
  expect(calls.inferAt(30, 1_201)).toEqual({ kind: "run", runId: "run-1" });
  expect(calls.inferAt(40, 1_398)).toEqual({ kind: "run", runId: "run-2" });
  // All calls of the kind are nested, but no run has this deadline.
  expect(calls.inferAt(50, 1_300)).toEqual({ kind: "run", runId: undefined });
});

test("does not take callers' requests for nested calls among many runs", () => {
  fc.assert(fc.property(
    fc.array(fc.integer({ min: 0, max: 7_000 }), {
      minLength: 500,
      maxLength: 500,
    }),
    fc.integer({ min: 1, max: 300 }),
    fc.integer({ min: 2, max: 9 }),
    (runs, stepMs, retryEvery) => {
      const calls = createScenario(runs, "check");
      for (let index = 0; index < 100; index++) {
        const now = index * stepMs % 6_000;
        // Some are retries, which state the rest of the caller's time.
        const remainingMs = index % retryEvery === 1 ? 600 - 37 - index : 600;
        const origin = calls.inferAt(now, now + remainingMs);
        if (index > 5) expect(origin.kind).toBe("caller");
      }
    },
  ));
});

test("does not infer a run that has ended", () => {
  const calls = createScenario([1_000], "inner");
  for (let now = 0; now < 20; now++) calls.inferAt(now, 1_000);
  calls.runRegistry.finish("run-0");
  expect(calls.inferAt(30, 1_000)).toEqual({ kind: "run", runId: undefined });
});
