import fc from "fast-check";
import { expect, test } from "vitest";
import {
  READER_PROBE_FAILURES,
  READERS_PER_DATA_CENTRE,
  STANDBY_READERS_PER_DATA_CENTRE,
  UNLISTED_MAX_MS,
} from "../constants.ts";
import { createReaderSelection, type ReaderSelection } from "../readers.ts";

interface Member {
  readonly id: string;
}

function createMembers(count: number): readonly Member[] {
  return Array.from({ length: count }, (_, index) => ({ id: `i-${index}` }));
}

/** A data centre whose nodes probe each other as their roles say. */
function createDataCentre(count: number) {
  const members = createMembers(count);
  const selections = new Map<string, ReaderSelection<Member>>(
    members.map(({ id }) => [
      id,
      createReaderSelection<Member>({ dataCentre: "east", now: 0 }),
    ]),
  );
  const failed = new Set<string>();
  let now = 0;

  function roleOf(id: string) {
    return selections.get(id)!.role(members, { self: id, now });
  }

  function readers(): readonly string[] {
    return members.map(({ id }) => id).filter((id) =>
      !failed.has(id) && roleOf(id).kind === "reader"
    );
  }

  return {
    members,
    failed,
    readers,
    /** Nodes that try to read, whether or not the platform answers them. */
    attempting: () =>
      members.filter(({ id }) => roleOf(id).kind === "reader").length,
    runProbes: (rounds: number) => {
      for (let round = 0; round < rounds; round++) {
        now += 500;
        const reading = new Set(readers());
        for (const { id } of members) {
          const selection = selections.get(id)!;
          const role = roleOf(id);
          if (role.kind === "none" || role.kind === "unlisted") continue;
          for (const probed of role.probe) {
            selection.recordProbe(probed.id, reading.has(probed.id), now);
          }
        }
      }
    },
  };
}

test("a fixed number of nodes reads, whatever the size of the data centre", () => {
  for (const count of [3, 14, 39, 400]) {
    const dataCentre = createDataCentre(count);
    dataCentre.runProbes(6);
    expect(dataCentre.readers()).toHaveLength(READERS_PER_DATA_CENTRE);
  }
});

test("any reader that fails is replaced, and steps back in when it returns", () => {
  fc.assert(fc.property(
    fc.integer({ min: 6, max: 40 }),
    fc.integer({ min: 1, max: STANDBY_READERS_PER_DATA_CENTRE }),
    (count, failures) => {
      const dataCentre = createDataCentre(count);
      dataCentre.runProbes(4);
      const first = dataCentre.readers();
      for (let index = 0; index < failures; index++) {
        const [reader] = dataCentre.readers();
        if (reader !== undefined) dataCentre.failed.add(reader);
        dataCentre.runProbes(READER_PROBE_FAILURES + 2);
      }
      expect(dataCentre.readers().length).toBeGreaterThanOrEqual(
        READERS_PER_DATA_CENTRE,
      );
      dataCentre.failed.clear();
      dataCentre.runProbes(4);
      expect(dataCentre.readers()).toEqual(first);
    },
  ));
});

test("a platform that refuses all does not make all nodes read", () => {
  const dataCentre = createDataCentre(100);
  dataCentre.runProbes(4);
  for (const { id } of dataCentre.members) dataCentre.failed.add(id);
  dataCentre.runProbes(10);
  expect(dataCentre.attempting()).toBeLessThanOrEqual(
    READERS_PER_DATA_CENTRE + STANDBY_READERS_PER_DATA_CENTRE,
  );
});

test("a node that knows no member of its data centre lists, then reads", () => {
  const selection = createReaderSelection<Member>({
    dataCentre: "east",
    now: 0,
  });
  const roleOf = (now: number) =>
    selection.role([], { self: "machine-1", now }).kind;
  expect(roleOf(0)).toBe("unlisted");
  expect(roleOf(UNLISTED_MAX_MS)).toBe("reader");
  const others = createMembers(8);
  expect(selection.role(others, { self: "machine-1", now: 0 }).kind)
    .toBe("none");
});
