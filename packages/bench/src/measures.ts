/** Measures of a run, from what callers and fakes have counted. */

import type { RequestRecord } from "./callers.ts";
import { RECOVERED_SHARE, RECOVERY_WINDOW_MS } from "./constants.ts";
import type { Truth } from "./fake_backend.ts";

/** What became of one kind's requests. */
export interface KindResult {
  readonly name: string;
  readonly sent: number;
  readonly answered: number;
  readonly refused: number;
  readonly unknown: number;
  readonly failed: number;
}

/** What a run has left behind. */
export interface Session {
  readonly requests: readonly RequestRecord[];
  readonly truth: Truth;
  readonly attempts: number;
  readonly rankInversions: number;
  readonly wrongAnswers: number;
  readonly falseNotRun: number;
  readonly poisons: number;
  readonly from: number;
  readonly to: number;
  readonly end: number;
}

/** Worth of a request. */
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

/** The largest of some numbers that are not negative. */
export function largest(values: Iterable<number>): number {
  let most = 0;
  for (const value of values) most = Math.max(most, value);
  return most;
}

/** Whether a time is within the pressure. */
export function isWithin(
  at: number | undefined,
  { from, to }: Session,
): boolean {
  return at !== undefined && at >= from && at < to;
}

/** Weighted share of the chosen requests that were answered. */
export function answeredShare(
  requests: readonly RequestRecord[],
  include: (request: RequestRecord) => boolean,
): number {
  const chosen = requests.filter(include);
  const offered = sum(chosen, weightOf);
  const answered = chosen.filter((r) => r.answeredAt !== undefined);
  return offered === 0 ? 1 : sum(answered, weightOf) / offered;
}

/** Time from the end of the pressure until goodput stays near what is offered. */
export function recoveryOf(session: Session): number | null {
  const { requests, to, end } = session;
  const step = RECOVERY_WINDOW_MS;
  const count = Math.floor((end - to) / step);
  const offered = new Array<number>(count).fill(0);
  const answered = new Array<number>(count).fill(0);
  for (const request of requests) {
    const index = Math.floor((request.sentAt - to) / step);
    if (index < 0 || index >= count) continue;
    const weight = weightOf(request);
    offered[index] = (offered[index] ?? 0) + weight;
    if (request.answeredAt === undefined) continue;
    answered[index] = (answered[index] ?? 0) + weight;
  }
  let recovered: number | null = null;
  for (let index = 0; index < count; index++) {
    // Five steps together, so that a single refusal is not a relapse.
    const range = (values: readonly number[]) =>
      sum(values.slice(index, index + 5), (value) => value);
    const good = range(answered) >= RECOVERED_SHARE * range(offered);
    if (!good) recovered = null;
    else recovered ??= index * step;
  }
  return recovered;
}

/** Counts the requests of one kind that were sent during the pressure. */
export function kindOf(session: Session, name: string): KindResult {
  const own = session.requests.filter((request) =>
    request.root.name === name && isWithin(request.sentAt, session)
  );
  const ended = (kind: string) =>
    own.filter(({ outcome }) => outcome === kind).length;
  return {
    name,
    sent: own.length,
    answered: own.filter(({ answeredAt }) => answeredAt !== undefined).length,
    refused: ended("refused"),
    unknown: ended("unknown"),
    failed: ended("failed"),
  };
}
