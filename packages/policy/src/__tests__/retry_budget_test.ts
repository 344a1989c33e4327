import fc from "fast-check";
import { expect, test } from "vitest";
import { NESTED_RETRY_COST } from "../constants.ts";
import { createRetryBudget } from "../retry_budget.ts";

/** Number of services in the chain; each one may retry its calls. */
const DEPTH = 4;
const RATIO = 0.2;

test("retries in a chain of services stay within the ratio at the last one", () => {
  fc.assert(fc.property(
    fc.array(fc.boolean(), { minLength: 2_000, maxLength: 2_000 }),
    (fails) => {
      const budget = createRetryBudget({
        ratio: () => RATIO / 2,
        burst: () => 1,
      });
      const last = { requests: 0, repeats: 0 };
      let index = 0;

      // Each run calls the next service. A failed call is retried if the budget
      // permits it, which also repeats its nested calls.
      function call(depth: number, isRepeat: boolean): void {
        budget.deposit(`service-${depth}`);
        if (depth === DEPTH) {
          last.requests++;
          if (isRepeat) last.repeats++;
        } else call(depth + 1, isRepeat);
        const failed = fails[index++ % fails.length] ?? false;
        const cost = depth === DEPTH ? 1 : NESTED_RETRY_COST;
        if (!failed || !budget.withdraw(`service-${depth}`, cost)) return;
        if (depth === DEPTH) last.repeats++;
        else call(depth + 1, true);
      }

      for (let count = 0; count < 500; count++) call(1, false);
      // The initial balance allows one retry per service, which repeats its
      // nested calls.
      const slack = DEPTH * 2;
      expect(last.repeats).toBeLessThanOrEqual(
        RATIO * last.requests + slack,
      );
    },
  ));
});
