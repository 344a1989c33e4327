import fc from "fast-check";
import { expect, test } from "vitest";
import type { PlatformInstance } from "../feed.ts";
import { startAgent } from "./agent_harness.ts";

const OWN_BACKEND = "10.0.0.1:1";

type Entry = Omit<PlatformInstance, "revision">;

/** A write or, without an entry, the removal of a key. */
interface StoreEvent {
  readonly id: string;
  readonly entry: Entry | undefined;
}

const IDS = ["a-other", "i-earlier", "i-own", "i-own-2", "z-other"] as const;

const ENTRY = fc.record({
  service: fc.constantFrom("seals", "seals", "node-metrics"),
  backend: fc.constantFrom(OWN_BACKEND, OWN_BACKEND, "10.0.0.1:9100"),
  state: fc.constantFrom("live" as const, "leaving" as const),
  startedAt: fc.option(fc.integer({ min: 1, max: 4 }), { nil: undefined }),
}).map(({ startedAt, ...fields }) => ({
  ...fields,
  dataCentre: "east",
  address: "10.0.0.1:1",
  control: "10.0.0.1:2",
  ...(startedAt === undefined ? {} : { startedAt }),
}));

const EVENTS = fc.array(
  fc.record({
    id: fc.constantFrom(...IDS),
    entry: fc.option(ENTRY, { nil: undefined, freq: 4 }),
  }),
  { minLength: 1, maxLength: 12 },
).map((events): readonly StoreEvent[] =>
  events.map(({ id, entry }) => ({
    id,
    entry: entry === undefined ? undefined : { id, ...entry },
  }))
);

/** The entries that each event leaves changed, as a feed delivers them. */
function deliver(events: readonly StoreEvent[]): readonly PlatformInstance[] {
  const known = new Map<string, Entry>();
  return events.flatMap(({ id, entry }, index) => {
    const before = known.get(id);
    if (entry !== undefined) known.set(id, entry);
    else known.delete(id);
    const changed = entry ??
      (before === undefined
        ? undefined
        : { ...before, state: "gone" as const });
    return changed === undefined ? [] : [{ ...changed, revision: index + 1 }];
  });
}

/** The latest change of each entry. */
function latestOf(
  changes: readonly PlatformInstance[],
): readonly PlatformInstance[] {
  return [...new Map(changes.map((change) => [change.id, change])).values()];
}

/** The entry of the process that listens at the own backend server's address. */
function expectedOwn(
  changes: readonly PlatformInstance[],
): PlatformInstance | undefined {
  return latestOf(changes)
    .filter(({ service, backend, state }) =>
      service === "seals" && backend === OWN_BACKEND && state !== "gone"
    )
    .sort((a, b) =>
      (a.startedAt ?? 0) - (b.startedAt ?? 0) || a.revision - b.revision
    )
    .at(-1);
}

type Agent = ReturnType<typeof startAgent>;

function describeOwn({ own, agent }: Agent) {
  const last = own();
  if (last === undefined || last.state === "gone") return undefined;
  const { id, state, startedAt } = last;
  return { id, state, startedAt, listedId: agent.listedId() };
}

function describeExpected(changes: readonly PlatformInstance[]) {
  const entry = expectedOwn(changes);
  if (entry === undefined) return undefined;
  const { id, state, startedAt } = entry;
  return { id, state, startedAt, listedId: id };
}

function push({ agent }: Agent, { revision, ...entry }: PlatformInstance) {
  const value = JSON.stringify(entry);
  const topic = `instance/${entry.id}`;
  agent.controlHandler.push([{
    topic,
    version: revision,
    digest: `${revision}`,
    value,
  }]);
}

const ORDERED = EVENTS.chain((events) => {
  const changes = deliver(events);
  const all = changes.map((_, index) => index);
  return fc.record({
    changes: fc.constant(changes),
    /** An order in which peers tell of the changes. */
    order: fc.shuffledSubarray(all, { minLength: all.length }),
    /** An order of keys, and the size of the pages of a list. */
    keys: fc.shuffledSubarray([...IDS], { minLength: IDS.length }),
    pageSize: fc.integer({ min: 1, max: IDS.length }),
  });
});

// Guards against a node that takes its backend server for gone since an entry at
// its address was heard last (incident 31).
test("the own backend server is told from all entries, in any order", () => {
  fc.assert(fc.property(ORDERED, ({ changes, order, keys, pageSize }) => {
    const expected = describeExpected(changes);

    const watching = startAgent([]);
    for (const change of changes) watching.sinks.onInstances([change]);
    expect(describeOwn(watching)).toEqual(expected);

    const told = startAgent([]);
    for (const index of order) push(told, changes[index]!);
    expect(describeOwn(told)).toEqual(expected);

    const listed = latestOf(changes).filter(({ state }) => state !== "gone");
    const sorted = keys.flatMap((id) =>
      listed.find((entry) => entry.id === id) ?? []
    );
    const restarted = startAgent([]);
    for (let at = 0; at < sorted.length; at += pageSize) {
      restarted.sinks.onInstances(sorted.slice(at, at + pageSize));
    }
    expect(describeOwn(restarted)).toEqual(expected);
    // Peers tell again what the list had already.
    for (const index of order) push(restarted, changes[index]!);
    expect(describeOwn(restarted)).toEqual(expected);
  }));
});
