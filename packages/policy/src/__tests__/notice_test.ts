import { expect, test } from "vitest";
import {
  type BackendReport,
  createNoticeMemory,
  createNoticeTracker,
} from "../notice.ts";

const RATED: BackendReport = {
  id: "i-1",
  startedAt: 1,
  requestsPerS: 9,
  leaving: false,
};
const LEAVING: BackendReport = { ...RATED, leaving: true };

test("a gate that started again keeps the strictest rate that peers remember", () => {
  const tracker = createNoticeTracker();
  tracker.recall({ requestsPerS: 12, leaving: false });
  tracker.recall({ requestsPerS: undefined, leaving: false });
  expect(tracker.recall(RATED).requestsPerS).toBe(9);
  expect(tracker.recall({ requestsPerS: 20, leaving: false }).requestsPerS)
    .toBe(9);
});

test("an answer goes before what peers remember", () => {
  const tracker = createNoticeTracker();
  tracker.recall(RATED);
  tracker.observe({ requestsPerS: undefined, leaving: false });
  expect(tracker.recall(RATED).requestsPerS).toBeUndefined();
});

test("nothing is known before the first notice", () => {
  expect(createNoticeTracker().current()).toBeUndefined();
});

test("a late answer does not take back that a backend server is leaving", () => {
  const tracker = createNoticeTracker();
  tracker.observe(LEAVING);
  expect(tracker.observe(RATED).leaving).toBe(true);
  tracker.reset();
  expect(tracker.observe(RATED).leaving).toBe(false);
});

test("a memory holds for one incarnation of a backend server", () => {
  const memory = createNoticeMemory();
  expect(memory.record(LEAVING)).toBe(true);
  expect(memory.record(RATED)).toBe(false);
  expect(memory.isLeaving({ id: "i-1", startedAt: 1 })).toBe(true);
  expect(memory.isLeaving({ id: "i-1", startedAt: 2 })).toBe(false);
  const restarted = { ...RATED, startedAt: 2, requestsPerS: undefined };
  expect(memory.record(restarted)).toBe(true);
  expect(memory.record(LEAVING)).toBe(true);
});

test("a report of an earlier incarnation is not recorded", () => {
  const memory = createNoticeMemory();
  memory.record({ ...RATED, startedAt: 2 });
  expect(memory.record(LEAVING)).toBe(false);
  expect(memory.find("i-1")?.startedAt).toBe(2);
});
