import { expect, test } from "vitest";
import { checkOutcomes, checkTimes } from "../checks.ts";
import type { CallerRecord, Observations } from "../observations.ts";

function request(id: string, fields: Partial<CallerRecord> = {}): CallerRecord {
  const sentAt = fields.sentAt ?? 10_000;
  return {
    id,
    member: 0,
    route: "seal",
    idempotent: true,
    sentAt,
    endedAt: sentAt + 10,
    status: 200,
    error: "",
    body: `answer to ${id} by i-1`,
    isSigned: true,
    namesRate: false,
    statesLeaving: false,
    ...fields,
  };
}

const FINE: Observations = {
  requests: [request("fine", { sentAt: 99_000 })],
  arrivals: [],
  runs: ["fine"],
  disturbances: [],
  storeOutages: [],
  silences: [],
  rates: [],
  leavings: [],
  publications: [],
  unexpectedEnds: [],
  lateEnds: [],
  calmFrom: 90_000,
};

function withRequests(...requests: readonly CallerRecord[]): Observations {
  return { ...FINE, requests: [...FINE.requests, ...requests] };
}

function arrivals(count: number, gapMs: number) {
  return Array.from({ length: count }, (_, index) => ({
    requestId: `r${index}`,
    backend: "i-1",
    member: 1,
    at: 20_000 + index * gapMs,
  }));
}

const stop = { member: 0, kind: "stop", from: 9_000, to: 10_500 } as const;
const kill = { member: 0, kind: "kill", from: 9_000, to: 10_500 } as const;
const lateCut = request("a", {
  status: 0,
  error: "ECONNRESET",
  endedAt: 10_300,
});
const v2 = { version: 2, at: 5_000 };
const v3 = { version: 3, at: 6_000 };

const BROKEN: readonly (readonly [string, Observations, RegExp])[] = [
  [
    "another's answer",
    withRequests(request("a", { body: "answer to b by i-1" })),
    /wrong/,
  ],
  [
    "an unsigned answer",
    withRequests(request("a", { isSigned: false })),
    /wrong/,
  ],
  [
    "two runs of a request that is not idempotent",
    { ...withRequests(request("a", { idempotent: false })), runs: ["a", "a"] },
    /run 2 times/,
  ],
  [
    "a refusal of a request that ran",
    {
      ...withRequests(request("a", { idempotent: false, status: 503 })),
      runs: ["a"],
    },
    /said not to have run/,
  ],
  ["a denied route", withRequests(request("a", { status: 404 })), /denied/],
  [
    "more than the named rate",
    {
      ...FINE,
      arrivals: arrivals(30, 100),
      rates: [{ backend: "i-1", perS: 2, from: 10_000, to: 40_000 }],
    },
    /named 2.0 requests\/s and got 30/,
  ],
  [
    "a request to a leaving backend server",
    {
      ...withRequests(
        request("heard", { statesLeaving: true, sentAt: 10_000 }),
        request("r0", { sentAt: 20_000 }),
      ),
      arrivals: arrivals(1, 1),
      leavings: [{ backend: "i-1", from: 9_000, to: 40_000, isListed: false }],
    },
    /leaves since/,
  ],
  [
    "a configuration that is not in force",
    {
      ...withRequests(request("a", { route: "v2", status: 404 })),
      publications: [v2],
    },
    /not in force/,
  ],
  [
    "an older configuration in force",
    { ...withRequests(request("a", { route: "v2" })), publications: [v2, v3] },
    /not in force/,
  ],
  [
    "a return to an older configuration",
    withRequests(
      request("a", { route: "v3", sentAt: 10_000 }),
      request("b", { route: "v2", sentAt: 11_000 }),
    ),
    /back from v3/,
  ],
  [
    "a cut by a planned stop",
    { ...withRequests(lateCut), disturbances: [stop] },
    /cut without an answer/,
  ],
  [
    "a cut of a request that was passed on",
    {
      ...withRequests({ ...lateCut, endedAt: lateCut.sentAt + 10 }),
      arrivals: [{ requestId: "a", backend: "i-1", member: 1, at: 10_005 }],
      disturbances: [stop],
    },
    /cut without an answer/,
  ],
  [
    "retries without bound",
    {
      ...FINE,
      arrivals: arrivals(80, 10).map((arrival) => ({
        ...arrival,
        requestId: "same",
      })),
    },
    /79 repeats/,
  ],
  ["no recovery", { ...FINE, requests: [] }, /calm/],
  [
    "an end of its own",
    { ...FINE, unexpectedEnds: ["node i-1 ended"] },
    /ended/,
  ],
];

test.each(BROKEN)("the soak finds %s", (_title, seen, line) => {
  const lines = [...checkOutcomes(seen), ...checkTimes(seen)];
  expect(lines.join("\n")).toMatch(line);
});

const ALLOWED: readonly (readonly [string, Observations])[] = [
  ["nothing", FINE],
  ["a cut by a kill", { ...withRequests(lateCut), disturbances: [kill] }],
  [
    "a request that crosses the close of its connection",
    {
      ...withRequests({ ...lateCut, endedAt: lateCut.sentAt + 10 }),
      disturbances: [stop],
    },
  ],
  [
    "a configuration that is late at a node that was restarted",
    {
      ...withRequests(request("a", { route: "v2", status: 404 })),
      publications: [v2],
      disturbances: [kill],
    },
  ],
  [
    "a configuration that is late while the store is away",
    {
      ...withRequests(request("a", { route: "v2", status: 404 })),
      publications: [v2],
      storeOutages: [{ from: 4_000, to: 9_000 }],
    },
  ],
];

test.each(ALLOWED)("the soak accepts %s", (_title, seen) => {
  expect([...checkOutcomes(seen), ...checkTimes(seen)]).toEqual([]);
});
