import fc from "fast-check";
import { expect, test } from "vitest";
import { createRunRegistry } from "../../chains.ts";
import { createParents, type Origination } from "../parents.ts";

function open(runs: readonly number[]) {
  const chains = createRunRegistry();
  runs.forEach((deadlineAt, index) => {
    chains.start(`run-${index}`, { level: 16, weight: 1, deadlineAt });
  });
  return chains;
}

/** Calls of one kind, each at a time before its deadline. */
function caller(runs: readonly number[], kind: string) {
  const chains = open(runs);
  const parents = createParents(chains);
  return {
    chains,
    at: (now: number, deadlineAt: number): Origination =>
      parents.infer({ kind, statedMs: deadlineAt - now, deadlineAt }),
  };
}

test("a call that ends with a run is taken for that run's", () => {
  const calls = caller([1_000, 1_200, 1_400], "inner");
  for (let now = 0; now < 20; now++) calls.at(now, 1_201);
  expect(calls.at(30, 1_201)).toEqual({ kind: "run", runId: "run-1" });
  expect(calls.at(40, 1_398)).toEqual({ kind: "run", runId: "run-2" });
  // Of a kind that only runs call, but which run is not known.
  expect(calls.at(50, 1_300)).toEqual({ kind: "run", runId: undefined });
});

test("callers' requests stay theirs however many runs are in flight", () => {
  fc.assert(fc.property(
    fc.array(fc.integer({ min: 0, max: 7_000 }), {
      minLength: 500,
      maxLength: 500,
    }),
    fc.integer({ min: 1, max: 300 }),
    fc.integer({ min: 2, max: 9 }),
    (runs, step, again) => {
      const calls = caller(runs, "check");
      for (let index = 0; index < 100; index++) {
        const now = index * step % 6_000;
        // Some come again with what is left of their time.
        const leftMs = index % again === 1 ? 600 - 37 - index : 600;
        const found = calls.at(now, now + leftMs);
        if (index > 5) expect(found.kind).toBe("caller");
      }
    },
  ));
});

test("a run that is over has no more calls", () => {
  const calls = caller([1_000], "inner");
  for (let now = 0; now < 20; now++) calls.at(now, 1_000);
  calls.chains.finish("run-0");
  expect(calls.at(30, 1_000)).toEqual({ kind: "run", runId: undefined });
});
