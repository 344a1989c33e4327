/** Measures of a run, from the records of callers and backend servers. */

import type { RequestRecord } from "./callers.ts";
import { RECOVERED_GOODPUT_SHARE, RECOVERY_STEP_MS } from "./constants.ts";
import type { RunCounts } from "./fake_backend.ts";

/** Requests of one kind, by outcome. */
export interface KindResult {
  readonly name: string;
  readonly sent: number;
  readonly answered: number;
  readonly refused: number;
  readonly unknown: number;
  readonly failed: number;
}

/** Everything that is recorded during one simulation. */
export interface SimulationRecord {
  readonly requests: readonly RequestRecord[];
  readonly runCounts: RunCounts;
  /** Attempts sent to gates, retries and nested calls included. */
  readonly attempts: number;
  /** Protected calls refused although less important work got a slot. */
  readonly rankInversions: number;
  /** Answers that belong to another request. */
  readonly wrongAnswers: number;
  /** Requests reported as not run although a backend server ran them. */
  readonly falseNotRun: number;
  /** Number of requests that crash what runs them; resends not counted. */
  readonly poisonRequests: number;
  /**
   * Bounds of the pressure phase, in which the disturbances of the scenario
   * act, in ms of virtual time.
   */
  readonly pressureStart: number;
  readonly pressureEnd: number;
  /** When callers stop sending. */
  readonly sendingEnd: number;
}

/** Weight of a request in the goodput. */
export function weightOf({ root }: RequestRecord): number {
  return root.tree.kind.weight;
}

/** Adds up a value of each item. */
export function sum<Item>(
  items: Iterable<Item>,
  value: (item: Item) => number,
): number {
  let total = 0;
  for (const item of items) total += value(item);
  return total;
}

/** The largest of non-negative numbers; 0 if there are none. */
export function largest(values: Iterable<number>): number {
  let most = 0;
  for (const value of values) most = Math.max(most, value);
  return most;
}

/** Whether a time is within the pressure phase. */
export function isDuringPressure(
  at: number | undefined,
  { pressureStart, pressureEnd }: SimulationRecord,
): boolean {
  return at !== undefined && at >= pressureStart && at < pressureEnd;
}

/** Weighted share of the included requests that were answered. */
export function answeredShare(
  requests: readonly RequestRecord[],
  include: (request: RequestRecord) => boolean,
): number {
  const included = requests.filter(include);
  const offered = sum(included, weightOf);
  const answered = included.filter((r) => r.answeredAt !== undefined);
  return offered === 0 ? 1 : sum(answered, weightOf) / offered;
}

/**
 * Time from the end of the pressure phase until nearly all offered requests
 * are answered, in ms; null if that state is not reached or does not last.
 */
export function recoveryTimeOf(record: SimulationRecord): number | null {
  const { requests, pressureEnd, sendingEnd } = record;
  const stepMs = RECOVERY_STEP_MS;
  const count = Math.floor((sendingEnd - pressureEnd) / stepMs);
  const offered = new Array<number>(count).fill(0);
  const answered = new Array<number>(count).fill(0);
  for (const request of requests) {
    const index = Math.floor((request.sentAt - pressureEnd) / stepMs);
    if (index < 0 || index >= count) continue;
    const weight = weightOf(request);
    offered[index] = (offered[index] ?? 0) + weight;
    if (request.answeredAt === undefined) continue;
    answered[index] = (answered[index] ?? 0) + weight;
  }
  let recovered: number | null = null;
  for (let index = 0; index < count; index++) {
    // A window covers five steps, so that one refusal does not end a recovery.
    const sumOfWindow = (values: readonly number[]) =>
      sum(values.slice(index, index + 5), (value) => value);
    const isRecovered =
      sumOfWindow(answered) >= RECOVERED_GOODPUT_SHARE * sumOfWindow(offered);
    if (!isRecovered) recovered = null;
    else recovered ??= index * stepMs;
  }
  return recovered;
}

/** Counts the requests of one kind sent during the pressure phase. */
export function summarizeKind(
  record: SimulationRecord,
  name: string,
): KindResult {
  const requestsOfKind = record.requests.filter((request) =>
    request.root.name === name && isDuringPressure(request.sentAt, record)
  );
  const countOutcome = (kind: string) =>
    requestsOfKind.filter(({ outcome }) => outcome === kind).length;
  return {
    name,
    sent: requestsOfKind.length,
    answered:
      requestsOfKind.filter(({ answeredAt }) => answeredAt !== undefined)
        .length,
    refused: countOutcome("refused"),
    unknown: countOutcome("unknown"),
    failed: countOutcome("failed"),
  };
}
