import fc from "fast-check";
import { expect, test } from "vitest";
import {
  EJECT_FAILURES_MIN,
  EJECT_SHARE_MAX,
  LEAVING_FACT_TTL_MS,
  PROTECTED_LEVEL,
} from "../constants.ts";
import { createRouter } from "../router.ts";
import type { Upstream } from "../upstream.ts";

function upstream(index: number, dataCentre = "a"): Upstream {
  const id = `up-${index}`;
  const address = `127.0.0.1:${index}`;
  return { id, service: "selos", dataCentre, address, incarnation: "1" };
}

function createSeededRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

const DEMAND = { service: "selos", level: 10 };

function createFilled(upstreams: readonly Upstream[]) {
  const router = createRouter({ nodeId: "me", dataCentres: ["a", "b"] });
  router.update("selos", upstreams, { now: 0, warm: true });
  return router;
}

test("a leaving gate is not picked until it returns in a new incarnation", () => {
  const router = createFilled([upstream(1), upstream(2)]);
  router.markLeaving("up-1", "1", { now: 0 });
  const random = createSeededRandom(7);
  for (let index = 0; index < 200; index++) {
    expect(router.pick(DEMAND, { now: index, random })?.id).toBe("up-2");
  }
  const anew = { ...upstream(1), incarnation: "2" };
  router.update("selos", [anew, upstream(2)], { now: 500 });
  router.markLeaving("up-2", "1", { now: 500 });
  expect(router.pick(DEMAND, { now: 501, random })?.id).toBe("up-1");
});

test("a gate that was leaving is picked again after a while", () => {
  const router = createFilled([upstream(1)]);
  const random = createSeededRandom(7);
  router.markLeaving("up-1", "1", { now: 0 });
  const before = { now: LEAVING_FACT_TTL_MS - 1, random };
  expect(router.pick(DEMAND, before)).toBeUndefined();
  const after = { now: LEAVING_FACT_TTL_MS, random };
  expect(router.pick(DEMAND, after)?.id).toBe("up-1");
});

test("the own data centre goes first, another one if the own is full", () => {
  const router = createFilled([upstream(1, "a"), upstream(2, "b")]);
  const random = createSeededRandom(7);
  expect(router.pick(DEMAND, { now: 0, random })?.id).toBe("up-1");
  const report = { inFlight: 9, queued: 9, limit: 9, leaving: false };
  router.report("up-1", { ...report, acceptLevel: 50 }, { now: 0 });
  expect(router.pick(DEMAND, { now: 1, random })?.id).toBe("up-2");
  const urgent = { service: "selos", level: PROTECTED_LEVEL };
  // Protected work also goes to a gate that refuses less important work.
  const demand = { ...urgent, exclude: new Set(["up-2"]) };
  expect(router.pick(demand, { now: 1, random })?.id).toBe("up-1");
  const lesser = { ...DEMAND, exclude: new Set(["up-2"]) };
  expect(router.pick(lesser, { now: 1, random })).toBeUndefined();
});

test("own calls that a gate reports are not counted twice", () => {
  const router = createFilled([upstream(1, "a"), upstream(2, "b")]);
  const random = createSeededRandom(7);
  for (let count = 0; count < 7; count++) router.begin("up-1");
  const report = { queued: 0, limit: 10, acceptLevel: 0, leaving: false };
  router.report("up-1", { ...report, inFlight: 6 }, { now: 0 });
  router.end("up-1", "success", { now: 0 });
  expect(router.pick(DEMAND, { now: 0, random })?.id).toBe("up-1");
  // Calls of other routers count in addition to the own ones.
  router.report("up-1", { ...report, inFlight: 10 }, { now: 0 });
  expect(router.pick(DEMAND, { now: 0, random })?.id).toBe("up-2");
});

test("only a bounded share of a service is ejected", () => {
  fc.assert(fc.property(
    fc.array(fc.nat(7), { maxLength: 200 }),
    (failures) => {
      const all = Array.from({ length: 8 }, (_, index) => upstream(index));
      const router = createFilled(all);
      for (const index of failures) {
        for (let count = 0; count < EJECT_FAILURES_MIN; count++) {
          router.begin(`up-${index}`);
          router.end(`up-${index}`, "failure", { now: 10 });
        }
      }
      const ejected = router.snapshot(11).filter((up) => up.ejected).length;
      expect(ejected).toBeLessThanOrEqual(8 * EJECT_SHARE_MAX);
      const random = createSeededRandom(3);
      expect(router.pick(DEMAND, { now: 11, random })).toBeDefined();
    },
  ));
});

test("a node keeps state for a subset of a large service", () => {
  const all = Array.from({ length: 500 }, (_, index) => upstream(index));
  const router = createFilled(all);
  expect(router.snapshot(0).length).toBeLessThanOrEqual(32);
});

test("calls with a tight target go to a fast remote gate, others stay local", () => {
  const router = createFilled([upstream(1, "a"), upstream(2, "b")]);
  const random = createSeededRandom(7);
  const report = { queued: 0, limit: 16, acceptLevel: 0, leaving: false };
  const kind = "check";
  const slow = { ...report, inFlight: 8, usualMs: 80 };
  const fast = { ...report, inFlight: 8, usualMs: 30 };
  router.report("up-1", slow, { now: 0, kind });
  router.report("up-2", fast, { now: 0, kind });
  const urgent = { ...DEMAND, kind, objectiveMs: 150 };
  expect(router.pick(urgent, { now: 1, random })?.id).toBe("up-2");
  const patient = { ...DEMAND, kind, objectiveMs: 1_500 };
  expect(router.pick(patient, { now: 1, random })?.id).toBe("up-1");
  expect(router.pick(DEMAND, { now: 1, random })?.id).toBe("up-1");
});

test("an ejected gate is tried by one call at a time", () => {
  const router = createFilled([upstream(1), upstream(2)]);
  function failUntilEjected(now: number): number {
    let count = 0;
    const ejected = () =>
      router.snapshot(now).some(({ upstream, ejected }) =>
        upstream.id === "up-1" && ejected
      );
    while (!ejected()) {
      router.begin("up-1");
      router.end("up-1", "failure", { now });
      count++;
    }
    return count;
  }
  expect(failUntilEjected(0)).toBe(EJECT_FAILURES_MIN);
  expect(failUntilEjected(1_500)).toBe(1);
  const random = createSeededRandom(7);
  const demand = { ...DEMAND, exclude: new Set(["up-2"]) };
  expect(router.pick(demand, { now: 9_000, random })?.id).toBe("up-1");
  router.begin("up-1");
  expect(router.pick(demand, { now: 9_000, random })).toBeUndefined();
  router.end("up-1", "success", { now: 60_000 });
  expect(failUntilEjected(60_001)).toBe(EJECT_FAILURES_MIN);
});
