import fc from "fast-check";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { expect, test } from "vitest";
import {
  KNOWLEDGE_ASK_AGE_MS,
  KNOWLEDGE_ASK_PATIENCE_MS,
  KNOWLEDGE_RENEW_AGE_MS,
  READERS_PER_DATA_CENTRE,
  SOURCE_FANOUT,
} from "../constants.ts";
import {
  createFreshness,
  type KnowledgeRole,
  resolveSources,
} from "../freshness.ts";

/** Time in which a change must be in force, in ms. */
const CHANGE_APPLY_MS = 2_000;
/**
 * Time from the return of the platform until a change must be in force that is
 * made as soon as the platform counts as stable, in ms.
 */
const RETURN_MS = 3_000 + CHANGE_APPLY_MS;
/** Shortest mean time between two reads in vain that is affordable, in ms. */
const READ_RETRY_MS = 3_000;
/** Part of CHANGE_APPLY_MS that is left for the read itself and the changes it returns. */
const READ_MS = 300;
/** Time after a read in which other readers are told of it, in ms. */
const TELLING_MS = 30;
/** Age from which a reader asks one that tells it of a read, in ms. */
const TOLD_AGE_MIN_MS = 400;

const draws = fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true });

interface Run {
  readonly freshness: ReturnType<typeof createFreshness>;
  readonly asks: readonly number[];
  readonly reads: readonly number[];
  /** Largest age of the knowledge, in ms. */
  readonly oldestMs: number;
}

/** Follows the decisions of a node from its last confirmation at 0. */
function run(
  options: {
    readonly draw: number;
    readonly untilMs: number;
    /** @default "member" */
    readonly role?: KnowledgeRole;
    /** Called at each ask. */
    readonly onAsk?: (freshness: Run["freshness"], now: number) => void;
    /** Called at each read. */
    readonly onRead?: (now: number) => void;
    /** Whether the platform answers. */
    readonly answers?: boolean;
  },
): Run {
  const freshness = createFreshness({ now: 0, random: () => options.draw });
  freshness.confirm(0);
  const asks: number[] = [];
  const reads: number[] = [];
  let oldestMs = 0;
  for (let now = 0; now <= options.untilMs;) {
    oldestMs = Math.max(oldestMs, freshness.ageMs(now) ?? Infinity);
    const action = freshness.decide(now, options.role ?? "member");
    if (action.kind === "ask") {
      asks.push(now);
      options.onAsk?.(freshness, now);
    }
    if (action.kind === "read") {
      reads.push(now);
      options.onRead?.(now);
      freshness.recordRead(options.answers ?? true, now);
      if (options.answers ?? true) freshness.confirm(now);
    }
    now += Math.max(1, action.nextMs);
  }
  return { freshness, asks, reads, oldestMs };
}

test("a node whose peers are silent reads before a change must apply", () => {
  fc.assert(fc.property(draws, (draw) => {
    const { asks, reads } = run({ draw, untilMs: 20_000 });
    const gaps = reads.map((at, index) => at - (reads[index - 1] ?? 0));
    expect(reads.length).toBeGreaterThan(0);
    expect(Math.max(...gaps)).toBeLessThanOrEqual(CHANGE_APPLY_MS - READ_MS);
    expect(asks[0]).toBe(KNOWLEDGE_ASK_AGE_MS);
    expect(reads[0]! - asks[0]!).toBeGreaterThanOrEqual(
      KNOWLEDGE_ASK_PATIENCE_MS,
    );
  }));
});

test("a node that gets recent answers asks at its rate and never reads", () => {
  fc.assert(fc.property(
    draws,
    fc.integer({ min: 0, max: 500 }),
    (draw, ageMs) => {
      const { asks, reads } = run({
        draw,
        untilMs: 60_000,
        onAsk: (freshness, now) => freshness.confirm(now - ageMs),
      });
      expect(reads).toEqual([]);
      const askedMax = 60_000 / (KNOWLEDGE_ASK_AGE_MS - ageMs) + 1;
      expect(asks.length).toBeLessThanOrEqual(askedMax);
    },
  ));
});

// Guards against nodes that ask each other in a circle: each answer is a little
// newer than what the node knew, and the platform is never read.
test("a node that gains a little from every ask reads in time", () => {
  fc.assert(fc.property(
    draws,
    fc.integer({ min: 0, max: 1_000 }),
    (draw, gainMs) => {
      let knownAt = 0;
      const { oldestMs } = run({
        draw,
        untilMs: 20_000,
        onAsk: (freshness, now) => {
          knownAt = Math.min(now, knownAt + gainMs);
          freshness.confirm(knownAt);
        },
        onRead: (now) => knownAt = now,
      });
      expect(oldestMs).toBeLessThanOrEqual(CHANGE_APPLY_MS - READ_MS);
    },
  ));
});

// Guards against nodes that leave the platform to a reader which is cut off
// from it.
test("a node reads in time although a reader tries in vain", () => {
  fc.assert(fc.property(
    draws,
    fc.integer({ min: 0, max: 2_000 }),
    (draw, agoMs) => {
      const { oldestMs } = run({
        draw,
        untilMs: 20_000,
        onAsk: (freshness, now) => freshness.recordContact(now - agoMs),
      });
      expect(oldestMs).toBeLessThanOrEqual(CHANGE_APPLY_MS - READ_MS);
    },
  ));
});

test("while others try in vain too, reads that fail are rare", () => {
  fc.assert(fc.property(draws, (draw) => {
    const { asks, reads } = run({
      draw,
      untilMs: 30_000,
      answers: false,
      onAsk: (freshness, now) => freshness.recordContact(now - 500),
    });
    expect(reads.length).toBeLessThanOrEqual(1 + 30_000 / READ_RETRY_MS);
    expect(asks.length).toBeLessThan(2 * 30_000 / KNOWLEDGE_ASK_AGE_MS);
    // The others may be the only ones that the platform does not answer.
    const gaps = reads.map((at, index) => at - (reads[index - 1] ?? 0));
    expect(Math.max(...gaps)).toBeLessThanOrEqual(RETURN_MS);
  }));
});

test("reads that fail become rare", () => {
  fc.assert(fc.property(draws, (draw) => {
    const { reads } = run({ draw, untilMs: 60_000, answers: false });
    expect(reads.length).toBeGreaterThan(5);
    expect(reads.length).toBeLessThan(25);
  }));
});

test("a node that was held up waits for answers before it reads", () => {
  const freshness = createFreshness({ now: 0, random: () => 0 });
  freshness.confirm(0);
  expect(freshness.decide(KNOWLEDGE_ASK_AGE_MS, "member").kind).toBe("ask");
  const now = KNOWLEDGE_ASK_AGE_MS + 3_000;
  freshness.recordDelay(3_000);
  expect(freshness.decide(now, "member").kind).toBe("ask");
  const later = now + KNOWLEDGE_ASK_PATIENCE_MS;
  expect(freshness.decide(later, "member").kind).toBe("read");
});

test("a node that starts waits longer before it reads than one that knows", () => {
  const freshness = createFreshness({ now: 0, random: () => 0 });
  expect(freshness.ageMs(500)).toBeUndefined();
  for (let now = 0; now < CHANGE_APPLY_MS; now += 100) {
    expect(freshness.decide(now, "member").kind).not.toBe("read");
  }
  expect(freshness.decide(3_000, "member").kind).toBe("read");
});

function createMembers(count: number) {
  return Array.from({ length: count }, (_, index) => ({ id: `i-${index}` }));
}

test("every node has sources, and no source answers many", () => {
  for (const count of [1, 3, 14, 65, 2_000]) {
    const members = createMembers(count);
    const askers = [...members, { id: "unlisted" }];
    const loads = new Map<string, number>();
    for (const { id } of askers) {
      const sources = resolveSources(members, {
        dataCentre: "east",
        self: id,
        sourcesMin: READERS_PER_DATA_CENTRE,
      });
      expect(sources.length).toBeGreaterThan(
        count === 1 && id === "i-0" ? -1 : 0,
      );
      for (const source of sources) {
        const load = loads.get(source.id) ?? 0;
        loads.set(source.id, load + 1 / sources.length);
      }
    }
    expect(Math.max(...loads.values())).toBeLessThanOrEqual(2 * SOURCE_FANOUT);
  }
});

/** Follows readers whose confirmations reach each other after a delay. */
function runReaders(
  options: { readonly count: number; readonly seed: number },
) {
  const generator = xoroshiro128plus(options.seed);
  const random = () => uniformFloat64(generator);
  const readers = Array.from({ length: options.count }, () => ({
    freshness: createFreshness({ now: 0, random }),
    isLost: false,
    reads: 0,
  }));
  // All read at the same time at first.
  for (const { freshness } of readers) freshness.recordRead(true, 0);
  const tellings: { readonly dueAt: number; readonly at: number }[] = [];
  let oldestMs = 0;

  function step(now: number): void {
    for (const { at } of tellings.filter(({ dueAt }) => dueAt === now)) {
      for (const { freshness } of readers) {
        // One that has just read does not ask the one that tells it.
        const ageMs = freshness.ageMs(now) ?? Infinity;
        if (ageMs > TOLD_AGE_MIN_MS) freshness.confirm(at);
      }
    }
    for (const reader of readers.filter(({ isLost }) => !isLost)) {
      oldestMs = Math.max(oldestMs, reader.freshness.ageMs(now) ?? 0);
      if (reader.freshness.decide(now, "reader").kind !== "read") continue;
      reader.reads++;
      reader.freshness.confirm(now);
      reader.freshness.recordRead(true, now);
      tellings.push({ dueAt: now + TELLING_MS, at: now });
    }
  }

  return {
    readers,
    oldestMs: () => oldestMs,
    run: (fromMs: number, untilMs: number) => {
      for (let now = fromMs; now < untilMs; now++) step(now);
    },
  };
}

// Guards against readers that all call the platform to confirm what one knows.
test("readers confirm what is known with the calls of one of them", () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 18 }), fc.nat(), (count, seed) => {
      const group = runReaders({ count, seed });
      group.run(0, 10_000);
      const before = group.readers.map(({ reads }) => reads);
      group.run(10_000, 30_000);
      const reads = group.readers.map((reader, i) => reader.reads - before[i]!);
      const total = reads.reduce((sum, made) => sum + made, 0);
      expect(total).toBeLessThanOrEqual(20_000 / KNOWLEDGE_RENEW_AGE_MS + 1);
      expect(group.oldestMs()).toBeLessThan(CHANGE_APPLY_MS - READ_MS);
    }),
    { numRuns: 50 },
  );
});

test("a reader takes over from one that is lost before a change must apply", () => {
  fc.assert(
    fc.property(fc.integer({ min: 2, max: 18 }), fc.nat(), (count, seed) => {
      const group = runReaders({ count, seed });
      group.run(0, 10_000);
      const [first] = group.readers.toSorted((a, b) => b.reads - a.reads);
      first!.isLost = true;
      group.run(10_000, 15_000);
      expect(group.oldestMs()).toBeLessThan(CHANGE_APPLY_MS - READ_MS);
    }),
    { numRuns: 50 },
  );
});
