import fc from "fast-check";
import { expect, test } from "vitest";
import {
  THROTTLE_FAILURE_SHARE_MAX,
  THROTTLE_INTERVAL_MS,
} from "../constants.ts";
import { createThrottle } from "../throttle.ts";

const RUNS = 200;
const OFFERS = 1_000;

/** Admitted share after a period in which `failed` of the runs failed. */
function measureAdmittedShare(failed: number): number {
  const throttle = createThrottle();
  const options = { now: 0, averageRunMs: THROTTLE_INTERVAL_MS };
  for (let run = 0; run < RUNS; run++) {
    // The first run that fails begins the record of the kind.
    throttle.observe("report", run < failed, options);
  }
  const now = THROTTLE_INTERVAL_MS;
  let admitted = 0;
  for (let offer = 0; offer < OFFERS; offer++) {
    if (throttle.admit("report", now)) admitted++;
  }
  return admitted / OFFERS;
}

test("a kind whose nested calls fail is admitted in the share that succeeds", () => {
  fc.assert(fc.property(
    fc.integer({
      min: Math.ceil(RUNS * THROTTLE_FAILURE_SHARE_MAX) + 1,
      max: Math.floor(RUNS * 0.97),
    }),
    (failed) => {
      const expected = 1 - failed / RUNS;
      expect(Math.abs(measureAdmittedShare(failed) - expected))
        .toBeLessThanOrEqual(2 / OFFERS);
    },
  ));
});

test("failures within the tolerance refuse nothing", () => {
  const failed = Math.floor(RUNS * THROTTLE_FAILURE_SHARE_MAX);
  expect(measureAdmittedShare(failed)).toBe(1);
});
