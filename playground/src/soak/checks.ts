/** Checks of the promises, from what callers and backend servers have seen. */

import type {
  CallerRecord,
  NodeDisturbance,
  Observations,
  Span,
} from "./observations.ts";

/** Time after a disturbance from which bounds of time hold again. */
const STABLE_MS = 3_000;
/** Time within which a configuration is in force after its acknowledgement. */
const APPLY_MS = 2_000;
/** Time for which an older configuration may still be seen after a newer one. */
const DOWNGRADE_SLACK_MS = 250;
/** Time after which a leaving backend server gets nothing new. */
const DRAIN_MS = 2_000;
/** Span in which the requests to a backend server with a rate are counted. */
const RATE_SPAN_MS = 4_000;
/** Excess over its rate, and requests besides, that a span may hold. */
const RATE_EXCESS = 1.5;
const RATE_SLACK = 5;
/**
 * Time after which a request that was sent may not be cut any more. One that
 * crosses the close of its connection is cut sooner, and is not passed on.
 */
const LOSS_SLACK_MS = 200;
/** Span and bounds of the arrivals that repeat a request. */
const RETRY_SPAN_MS = 10_000;
const RETRY_RATIO = 0.2;
const RETRY_SLACK = 50;
/** Share of the requests of the calm end that is answered. */
const RECOVERED_SHARE = 0.95;
/** Statuses that promise that a request has not run and never will. */
const NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);

function overlaps(a: Span, b: Span): boolean {
  return a.from <= b.to && b.from <= a.to;
}

function countBy<Item>(
  items: readonly Item[],
  keyOf: (item: Item) => string,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const item of items) {
    counts.set(keyOf(item), (counts.get(keyOf(item)) ?? 0) + 1);
  }
  return counts;
}

/** Whether a machine's node ran undisturbed in a span and before it. */
function isInTouch(
  member: number,
  span: Span,
  { disturbances, storeOutages, silences }: Observations,
): boolean {
  const from = span.from - STABLE_MS;
  const disturbed = (other: Span) => overlaps({ from, to: span.to }, other);
  return ![...storeOutages, ...silences].some(disturbed) &&
    !disturbances.some((other) => other.member === member && disturbed(other));
}

function isDisturbed(
  member: number,
  span: Span,
  disturbances: readonly NodeDisturbance[],
): boolean {
  return disturbances.some((other) =>
    other.member === member && overlaps(other, span)
  );
}

function describe(request: CallerRecord): string {
  const { id, route, member, sentAt, endedAt, status, error } = request;
  return `${id} (${route}) at machine ${member}, sent at ` +
    `${Math.round(sentAt)} ms, ended ${status || error} ` +
    `${Math.round(endedAt - sentAt)} ms later`;
}

function checkAnswers({ requests }: Observations): readonly string[] {
  return requests.filter(({ status, id, body, isSigned }) =>
    status === 200 && (!isSigned || !body.startsWith(`answer to ${id} by `))
  ).map((request) => `wrong answer: ${describe(request)}: ${request.body}`);
}

function checkRuns({ requests, runs }: Observations): readonly string[] {
  const counts = countBy(runs, (id) => id);
  return requests.filter(({ idempotent }) => !idempotent).flatMap((request) => {
    const count = counts.get(request.id) ?? 0;
    if (count > 1) return [`run ${count} times: ${describe(request)}`];
    const denied = NOT_RUN.has(request.status) && count > 0;
    return denied ? [`said not to have run: ${describe(request)}`] : [];
  });
}

/** Statuses that deny what every configuration allows. */
function checkDenied({ requests }: Observations): readonly string[] {
  return requests.filter(({ route, status }) =>
    !route.startsWith("v") && [400, 401, 403, 404, 413].includes(status)
  ).map((request) => `denied: ${describe(request)}`);
}

function checkRates(seen: Observations): readonly string[] {
  const originOf = createOriginLookup(seen);
  return seen.rates.flatMap(({ backend, perS, from, to }) => {
    const allowed = RATE_EXCESS * perS * (RATE_SPAN_MS / 1_000) + RATE_SLACK;
    const counted = seen.arrivals.filter((arrival) => {
      if (arrival.backend !== backend) return false;
      if (arrival.at < from + STABLE_MS || arrival.at > to) return false;
      const origin = originOf(arrival.requestId);
      const span = { from: arrival.at - STABLE_MS, to: arrival.at };
      return origin === undefined ||
        !isDisturbed(origin, span, seen.disturbances);
    });
    for (const first of counted) {
      const end = first.at + RATE_SPAN_MS;
      const count = counted.filter(({ at }) => at >= first.at && at < end)
        .length;
      if (count <= allowed) continue;
      return [
        `${backend} named ${perS.toFixed(1)} requests/s and got ${count} in ` +
        `${RATE_SPAN_MS} ms from ${Math.round(first.at)} ms, allowed ` +
        allowed.toFixed(1),
      ];
    }
    return [];
  });
}

/** The machine where a request began; calls of backend servers included. */
function createOriginLookup(
  { requests, arrivals }: Observations,
): (requestId: string) => number | undefined {
  const members = new Map(requests.map(({ id, member }) => [id, member]));
  const machines = new Map(
    arrivals.map(({ backend, member }) => [backend, member]),
  );
  return (id) =>
    members.get(id) ?? machines.get(id.slice(0, id.lastIndexOf("-")));
}

function checkLeavings(seen: Observations): readonly string[] {
  const sentAt = new Map(seen.requests.map(({ id, sentAt }) => [id, sentAt]));
  const originOf = createOriginLookup(seen);
  return seen.leavings.flatMap(({ backend, from, to, isListed }) =>
    seen.arrivals.flatMap(({ requestId, at, ...arrival }) => {
      if (arrival.backend !== backend || at < from || at > to) return [];
      const origin = originOf(requestId);
      if (origin === undefined) return [];
      const begunAt = sentAt.get(requestId) ?? at;
      const heard = seen.requests.find((request) =>
        request.member === origin && request.statesLeaving &&
        request.body.endsWith(` by ${backend}`)
      );
      const heardAt = heard?.endedAt ?? Infinity;
      const isBound = begunAt > heardAt + DRAIN_MS &&
        !isDisturbed(origin, { from: heardAt, to: at }, seen.disturbances);
      const isAcknowledged = isListed && begunAt > from + DRAIN_MS &&
        isInTouch(origin, { from, to: at }, seen);
      if (!isBound && !isAcknowledged) return [];
      return [
        `${requestId} from machine ${origin} reached ${backend} at ` +
        `${Math.round(at)} ms, which leaves since ${Math.round(from)} ms`,
      ];
    })
  );
}

function versionOf(route: string): number {
  return route.startsWith("v") ? Number(route.slice(1)) : NaN;
}

function checkInForce(seen: Observations): readonly string[] {
  return seen.requests.flatMap((request) => {
    const version = versionOf(request.route);
    if (Number.isNaN(version) || request.status === 0) return [];
    const newest = seen.publications.filter(({ at }) =>
      at + APPLY_MS < request.sentAt
    ).at(-1);
    if (newest === undefined) return [];
    const span = { from: newest.at, to: request.endedAt };
    if (!isInTouch(request.member, span, seen)) return [];
    const isOld = request.status === 200 && version < newest.version;
    const isMissing = request.status === 404 && version === newest.version &&
      seen.publications.at(-1)?.version === version;
    if (!isOld && !isMissing) return [];
    return [`version ${newest.version} not in force: ${describe(request)}`];
  });
}

function checkNeverBack(seen: Observations): readonly string[] {
  const probes = seen.requests.filter(({ route, status }) =>
    status === 200 && route.startsWith("v")
  );
  return probes.flatMap((request) => {
    const { member, route, sentAt, endedAt } = request;
    const newer = probes.find((other) =>
      other.member === member && versionOf(other.route) > versionOf(route) &&
      other.endedAt + DOWNGRADE_SLACK_MS < sentAt &&
      !isDisturbed(
        member,
        { from: other.sentAt, to: endedAt },
        seen.disturbances,
      )
    );
    return newer === undefined
      ? []
      : [`back from ${newer.route}: ${describe(request)}`];
  });
}

/** Cuts without an answer by a node that was not killed or paused. */
function checkLost(seen: Observations): readonly string[] {
  const arrived = new Set(seen.arrivals.map(({ requestId }) => requestId));
  return seen.requests.flatMap((request) => {
    const { id, member, status, error, sentAt, endedAt } = request;
    if (status !== 0 || error === "ECONNREFUSED") return [];
    const span = { from: sentAt - STABLE_MS, to: endedAt };
    const isExcused = seen.disturbances.some((other) =>
      other.member === member && other.kind !== "stop" && overlaps(other, span)
    );
    if (isExcused) return [];
    const isLate = endedAt - sentAt > LOSS_SLACK_MS;
    if (!isLate && !arrived.has(id)) return [];
    return [`cut without an answer: ${describe(request)}`];
  });
}

function checkRetries(seen: Observations): readonly string[] {
  const counted = new Set<string>();
  const arrivals = [...seen.arrivals].sort((a, b) => a.at - b.at).map(
    ({ requestId, at }) => {
      const repeats = counted.has(requestId);
      counted.add(requestId);
      return { at, repeats };
    },
  );
  for (const { at: from } of arrivals) {
    const inSpan = (start: number) =>
      arrivals.filter(({ at }) => at >= start && at < start + RETRY_SPAN_MS);
    const repeats = inSpan(from).filter(({ repeats }) => repeats).length;
    if (repeats <= RETRY_SLACK) continue;
    const firsts = inSpan(from).length - repeats;
    if (repeats <= RETRY_RATIO * firsts + RETRY_SLACK) continue;
    return [`${repeats} repeats of ${firsts} requests from ${from} ms`];
  }
  return [];
}

function checkRecovery({ requests, calmFrom }: Observations) {
  const calm = requests.filter(({ sentAt, route }) =>
    sentAt > calmFrom + STABLE_MS && !route.startsWith("v")
  );
  const answered = calm.filter(({ status }) => status === 200).length;
  if (calm.length > 0 && answered >= calm.length * RECOVERED_SHARE) return [];
  const ends = countBy(
    calm,
    ({ member, route, status, error }) =>
      `${route} at machine ${member}: ${status || error}`,
  );
  const others = [...ends].filter(([end]) => !end.endsWith(": 200"));
  return [
    `${answered} of ${calm.length} answered in the calm at the end: ` +
    others.map(([end, count]) => `${count} ${end}`).join(", "),
  ];
}

/** Nodes at which a route has no answer in the calm at the end. */
function checkReturn({ requests, calmFrom }: Observations): readonly string[] {
  const calm = requests.filter(({ sentAt, route }) =>
    sentAt > calmFrom && !route.startsWith("v")
  );
  const keyOf = ({ route, member }: CallerRecord) =>
    `${route} at machine ${member}`;
  const answered = new Set(
    calm.filter(({ status }) => status === 200).map(keyOf),
  );
  return [...new Set(calm.map(keyOf))].filter((key) => !answered.has(key))
    .map((key) => `never answered in the calm at the end: ${key}`);
}

/**
 * Returns a line for each broken promise that holds on a machine of any speed.
 */
export function checkOutcomes(seen: Observations): readonly string[] {
  return [
    ...checkAnswers(seen),
    ...checkRuns(seen),
    ...checkDenied(seen),
    ...checkRates(seen),
    ...checkNeverBack(seen),
    ...checkRetries(seen),
    ...checkReturn(seen),
    ...seen.unexpectedEnds,
  ];
}

/**
 * Returns a line for each broken promise that bounds a time, which a machine
 * without spare processor time may not keep.
 */
export function checkTimes(seen: Observations): readonly string[] {
  return [
    ...checkLeavings(seen),
    ...checkInForce(seen),
    ...checkLost(seen),
    ...checkRecovery(seen),
    ...seen.lateEnds,
  ];
}
