import fc from "fast-check";
import { expect, test } from "vitest";
import type { ListedEntry } from "../listed_entry.ts";
import { createMembership, type Membership } from "../membership.ts";

const NODES = 4;

function createEntry(
  id: string,
  node: number,
  fields: Partial<ListedEntry> = {},
): ListedEntry {
  return {
    id,
    service: "seals",
    dataCentre: "east",
    address: `10.0.0.${node}:1`,
    control: `10.0.0.${node}:2`,
    backend: `10.0.0.${node}:8080`,
    state: "live",
    startedAt: 1_000,
    revision: 1,
    ...fields,
  };
}

/** Entries of the backend servers, and entries that others wrote beside them. */
const ENTRIES = fc.record({
  own: fc.constant(
    Array.from({ length: NODES }, (_, node) => createEntry(`i-${node}`, node)),
  ),
  foreign: fc.array(
    fc.record({
      node: fc.integer({ min: 0, max: NODES - 1 }),
      name: fc.constantFrom("a", "z"),
      kind: fc.constantFrom("application", "earlier" as const),
      state: fc.constantFrom("live" as const, "leaving" as const),
    }),
    { maxLength: 2 * NODES },
  ).map((all) =>
    all.map(({ node, name, kind, state }) => {
      const { startedAt: _startedAt, ...entry } = createEntry(
        `${name}-${kind}-${node}`,
        node,
        { state },
      );
      if (kind === "earlier") return { ...entry, startedAt: 10 };
      return {
        ...entry,
        service: "node-metrics",
        backend: `10.0.0.${node}:9100`,
      };
    })
  ),
}).chain(({ own, foreign }) => {
  const all = [...own, ...foreign];
  const order = all.map((_, index) => index);
  return fc.record({
    own: fc.constant(own),
    entries: fc.shuffledSubarray(order, { minLength: order.length }).map((
      indexes,
    ) => indexes.map((index) => all[index]!)),
  });
});

function createMembershipOf(entries: readonly ListedEntry[]): Membership {
  const membership = createMembership();
  for (const entry of entries) membership.applyListed(entry);
  return membership;
}

function sortedIds(entries: readonly { readonly id: string }[]) {
  return entries.map(({ id }) => id).sort();
}

// Guards against readers that are elected among entries of no node, and against
// a node that counts twice (incident 32).
test("each node is one member, whatever else is listed at its address", () => {
  fc.assert(fc.property(ENTRIES, ({ own, entries }) => {
    const membership = createMembershipOf(entries);
    expect(sortedIds(membership.members("east"))).toEqual(sortedIds(own));
    expect(membership.nodeCount()).toBe(NODES);
  }));
});

// Guards against a retry that goes to the same gate under another id, and against
// an earlier id that is leaving (incident 32).
test("each backend server is one upstream, under its latest id", () => {
  fc.assert(fc.property(ENTRIES, ({ own, entries }) => {
    const membership = createMembershipOf(entries);
    expect(sortedIds(membership.upstreams("seals", 0))).toEqual(sortedIds(own));
  }));
});

test("a backend server that leaves is no upstream under an earlier id", () => {
  const earlier = createEntry("a-earlier", 1, { startedAt: 10 });
  const leaving = createEntry("i-1", 1, { state: "leaving" });
  for (const entries of [[earlier, leaving], [leaving, earlier]]) {
    const membership = createMembershipOf(entries);
    expect(membership.upstreams("seals", 0)).toEqual([]);
    expect(membership.members("east")).toEqual([]);
    membership.applyListed({ ...leaving, state: "gone", revision: 2 });
    expect(sortedIds(membership.upstreams("seals", 0))).toEqual(["a-earlier"]);
  }
});
