/** Random plans of a soak: which faults and changes come when. */

import { hashText } from "@coltsfootdeal/policy";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { SilentConnections } from "../platform_fleet.ts";

/** What another writer lists on the machine of a backend server. */
export type ForeignEntry =
  /** A process at another port, of a service that is in no configuration. */
  | "application"
  /** The backend server itself, leaving, under an earlier id. */
  | "earlier"
  /** A backend server of another service at the same address. */
  | "successor"
  /** A value that cannot be read, under the backend server's own id. */
  | "unreadable";

/** What happens to the fleet; `member` is the index of a machine. */
export type SoakAction =
  /** The node gets a signal and is started again after it has ended. */
  | {
    readonly kind: "restart";
    readonly member: number;
    readonly signal: "SIGTERM" | "SIGKILL";
    readonly downMs: number;
  }
  /** The node stands still. */
  | { readonly kind: "pause"; readonly member: number; readonly ms: number }
  /** The store refuses or does not answer these machines. */
  | {
    readonly kind: "store";
    readonly members: readonly number[];
    readonly how: "silent" | "busy" | "reset";
    readonly ms: number;
  }
  /** The store is away and comes back with an earlier state. */
  | {
    readonly kind: "restore";
    readonly ageMs: number;
    readonly ms: number;
    /** Time after the return in which lost writes are written again. */
    readonly rewriteMs: number;
  }
  /** Open connections of all nodes go silent; new ones work. */
  | { readonly kind: "silence"; readonly connections: SilentConnections }
  /** Another writer lists something on a machine for a while. */
  | {
    readonly kind: "entry";
    readonly member: number;
    readonly what: ForeignEntry;
    /** Whether its key comes before or after that of the backend server. */
    readonly order: "before" | "after";
    readonly ms: number;
  }
  /** All nodes are killed at once. */
  | { readonly kind: "power_loss"; readonly downMs: number }
  | { readonly kind: "publish" }
  /** The backend server names a rate that it accepts. */
  | {
    readonly kind: "cap";
    readonly member: number;
    readonly perS: number;
    readonly ms: number;
  }
  /** The backend server leaves; another one replaces it at its address. */
  | {
    readonly kind: "leave";
    readonly member: number;
    readonly how: "drain" | "remove" | "say";
    readonly ms: number;
  }
  | {
    readonly kind: "fault";
    readonly member: number;
    readonly fault:
      | "answer_lost"
      | "truncated"
      | "crash"
      | "extra"
      | "unsigned";
    readonly count: number;
  };

/** An action and the time at which it begins. */
export interface SoakEvent {
  readonly atMs: number;
  readonly action: SoakAction;
}

/** Size of a soak. */
export interface SoakScale {
  /** Machines; each runs a node and a backend server. */
  readonly members: number;
  /** Time in which events begin, in ms. */
  readonly lengthMs: number;
  /** Mean time between two events, in ms. */
  readonly gapMs: number;
}

/** Draws uniformly distributed numbers in [0, 1). */
type Uniform = () => number;

function createUniform(name: string): Uniform {
  const generator = xoroshiro128plus(hashText(name) | 0);
  return () => uniformFloat64(generator);
}

function createPicker(uniform: Uniform, members: number) {
  const between = (low: number, high: number) => low + uniform() * (high - low);
  const oneOf = <Item>(items: readonly [Item, ...Item[]]): Item =>
    items[Math.floor(uniform() * items.length)] ?? items[0];
  const member = () => Math.floor(uniform() * members);
  const some = (share: number) =>
    Array.from({ length: members }, (_, index) => index).filter(() =>
      uniform() < share
    );
  return { between, oneOf, member, some };
}

function drawAction(
  kind: SoakAction["kind"],
  { between, oneOf, member, some }: ReturnType<typeof createPicker>,
): SoakAction {
  switch (kind) {
    case "restart":
      return {
        kind,
        member: member(),
        signal: oneOf(["SIGTERM", "SIGTERM", "SIGKILL"]),
        downMs: between(0, 1_500),
      };
    case "pause":
      return { kind, member: member(), ms: between(200, 2_500) };
    case "store":
      return {
        kind,
        members: some(oneOf([0.3, 1])),
        how: oneOf(["silent", "busy", "reset"]),
        ms: between(500, 4_000),
      };
    case "restore":
      return {
        kind,
        ageMs: between(1_000, 8_000),
        ms: between(200, 2_500),
        rewriteMs: between(0, 1_000),
      };
    case "silence":
      return {
        kind,
        connections: oneOf(["store", "store", "nodes", "backend", "all"]),
      };
    case "entry":
      return {
        kind,
        member: member(),
        what: oneOf(["application", "earlier", "successor", "unreadable"]),
        order: oneOf(["before", "after"]),
        ms: between(3_000, 8_000),
      };
    case "power_loss":
      return { kind, downMs: between(0, 1_500) };
    case "publish":
      return { kind };
    case "cap":
      return {
        kind,
        member: member(),
        perS: between(1, 10),
        ms: between(4_000, 9_000),
      };
    case "leave":
      return {
        kind,
        member: member(),
        how: oneOf(["drain", "remove", "say"]),
        ms: between(2_500, 5_000),
      };
    case "fault":
      return {
        kind,
        member: member(),
        fault: oneOf([
          "answer_lost",
          "truncated",
          "crash",
          "extra",
          "unsigned",
        ]),
        count: 1 + Math.floor(between(0, 4)),
      };
  }
}

/** Kinds of actions; a kind that stands twice comes twice as often. */
const KINDS = [
  "restart",
  "restart",
  "pause",
  "store",
  "restore",
  "publish",
  "publish",
  "cap",
  "leave",
  "fault",
] as const;

/** Share of events that are followed at once by others of their kind. */
const SERIES_SHARE = 0.25;
const SERIES_LENGTH = 3;
const SERIES_GAP_MS = 300;

/** Time between two silences, as a multiple of that between other events. */
const SILENCE_GAP_FACTOR = 8;
/** Time before a silence at which a configuration is published. */
const SILENCE_LEAD_MS = 700;
/** Shortest time after a silence at which the next one is. */
const SILENCE_PUBLISH_MIN_MS = 3_100;
const SILENCE_PUBLISH_MAX_MS = 4_000;

/**
 * Draws silences, each with a configuration before it, so that all watches have
 * just begun, and one after it. They have a generator of their own, so that the
 * other events of a seed stay as they are.
 */
function drawSilences(
  seed: number,
  { members, lengthMs, gapMs }: SoakScale,
): readonly SoakEvent[] {
  const uniform = createUniform(`silence ${seed}`);
  const picker = createPicker(uniform, members);
  const events: SoakEvent[] = [];
  let atMs = 1_000;
  for (;;) {
    atMs += -SILENCE_GAP_FACTOR * gapMs * Math.log(1 - uniform());
    if (atMs >= lengthMs) return events;
    const publish: SoakAction = { kind: "publish" };
    const publishAtMs = atMs +
      picker.between(SILENCE_PUBLISH_MIN_MS, SILENCE_PUBLISH_MAX_MS);
    events.push(
      { atMs: atMs - SILENCE_LEAD_MS, action: publish },
      { atMs, action: drawAction("silence", picker) },
      { atMs: publishAtMs, action: publish },
    );
  }
}

/** Time between two entries, as a multiple of that between other events. */
const ENTRY_GAP_FACTOR = 5;
/** Time after an entry at which nodes start again beside it. */
const ENTRY_RESTART_MS = 1_000;

/**
 * Draws entries of other writers, beside some of which the node there starts
 * again, or all of them do. They have a generator of their own, as silences do.
 */
function drawEntries(
  seed: number,
  { members, lengthMs, gapMs }: SoakScale,
): readonly SoakEvent[] {
  const uniform = createUniform(`entries ${seed}`);
  const picker = createPicker(uniform, members);
  const events: SoakEvent[] = [];
  let atMs = 1_000;
  for (;;) {
    atMs += -ENTRY_GAP_FACTOR * gapMs * Math.log(1 - uniform());
    if (atMs >= lengthMs) return events;
    const action = drawAction("entry", picker);
    events.push({ atMs, action });
    const kind = picker.oneOf<"restart" | "power_loss" | undefined>([
      "restart",
      "power_loss",
      undefined,
    ]);
    if (kind === undefined) continue;
    const restart = drawAction(kind, picker);
    events.push({
      atMs: atMs + ENTRY_RESTART_MS,
      action: restart.kind === "restart" && action.kind === "entry"
        ? { ...restart, member: action.member }
        : restart,
    });
  }
}

/** Draws a plan; the same seed and scale give the same one. */
export function createSoakPlan(
  seed: number,
  { members, lengthMs, gapMs }: SoakScale,
): readonly SoakEvent[] {
  const uniform = createUniform(`soak ${seed}`);
  const picker = createPicker(uniform, members);
  const events: SoakEvent[] = [];
  let atMs = 1_000;
  while (atMs < lengthMs) {
    const kind = picker.oneOf(KINDS);
    const repeats = uniform() < SERIES_SHARE ? SERIES_LENGTH : 1;
    for (let index = 0; index < repeats; index++) {
      const action = drawAction(kind, picker);
      events.push({ atMs: atMs + index * SERIES_GAP_MS, action });
    }
    atMs += -gapMs * Math.log(1 - uniform());
  }
  const scale = { members, lengthMs, gapMs };
  return [
    ...events,
    ...drawSilences(seed, scale),
    ...drawEntries(seed, scale),
  ].sort((a, b) => a.atMs - b.atMs);
}
