import { expect, test } from "vitest";
import { runDistribution } from "../distribution.ts";

const SEEDS = [1, 2, 3];

test.for(SEEDS)(
  "news is everywhere within 5 s at full size, seed %i",
  (seed) => {
    const options = { members: 18_000, dataCentres: 9, loss: 0.1, seed };
    expect(runDistribution(options).allHaveItMs ?? Infinity)
      .toBeLessThanOrEqual(5_000);
  },
  120_000,
);
