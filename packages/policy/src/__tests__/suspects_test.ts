import { expect, test } from "vitest";
import { MASS_FAILURE_DEATHS_MIN, SUSPECT_TTL_MS } from "../constants.ts";
import { createSuspects } from "../suspects.ts";

function death(id: string, at: number, digests: readonly string[]) {
  return { id, instance: id, at, digests };
}

test("after one death a call runs exclusively, after two it is quarantined", () => {
  const suspects = createSuspects();
  suspects.record(death("a", 0, ["poison", "innocent"]));
  expect(suspects.suspicion("poison", 1)).toBe("isolate");
  suspects.clear("innocent", 2);
  suspects.record(death("b", 2_000, ["poison"]));
  expect(suspects.suspicion("poison", 2_001)).toBe("quarantined");
  expect(suspects.suspicion("innocent", 2_001)).toBe("clear");
});

test("a death that is recorded twice counts once", () => {
  const suspects = createSuspects();
  expect(suspects.record(death("a", 0, ["x"]))).toBe(true);
  expect(suspects.record(death("a", 0, ["x"]))).toBe(false);
  expect(suspects.suspicion("x", 1)).toBe("isolate");
});

test("calls at a single death of a mass failure are not suspects", () => {
  const suspects = createSuspects();
  for (let index = 0; index < MASS_FAILURE_DEATHS_MIN; index++) {
    suspects.record(death(`gate-${index}`, index, [`call-${index}`, "hot"]));
  }
  expect(suspects.suspicion("call-0", 10)).toBe("clear");
  expect(suspects.suspicion("hot", 10)).toBe("isolate");
});

test("two crashing calls at the same time are not a mass failure", () => {
  const suspects = createSuspects();
  suspects.record(death("a-1", 0, ["p", "innocent-1"]));
  suspects.record(death("b-1", 1, ["q", "innocent-2"]));
  expect(suspects.suspicion("p", 2)).toBe("isolate");
  suspects.record(death("a-2", 60, ["p"]));
  suspects.record(death("b-2", 61, ["q"]));
  expect(suspects.suspicion("p", 62)).toBe("quarantined");
  expect(suspects.suspicion("q", 62)).toBe("quarantined");
  expect(suspects.suspicion("innocent-1", 62)).toBe("clear");
});

test("suspicion expires", () => {
  const suspects = createSuspects();
  suspects.record(death("a", 0, ["x"]));
  expect(suspects.suspicion("x", SUSPECT_TTL_MS + 1)).toBe("clear");
});
