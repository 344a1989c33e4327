import {
  type InstanceFact,
  READERS_PER_DATA_CENTRE,
} from "@coltsfootdeal/policy";
import { expect, test } from "vitest";
import type { PlatformInstance } from "../feed.ts";
import { createFactNews } from "../news.ts";
import { LISTED_INSTANCES, startAgent } from "./agent_harness.ts";

function createFact(id: string, leaving: boolean): InstanceFact {
  return { id, incarnation: "1700000000000-x", leaving };
}

test("facts of live instances are compared, not pushed", () => {
  const { agent, pushedTopicsAfter } = startAgent();
  const facts = LISTED_INSTANCES.map(({ id }) =>
    createFactNews(createFact(id, false))
  );
  agent.controlHandler.compare({ settled: 0, recent: facts });
  expect(pushedTopicsAfter(5)).toEqual([]);
  const { recent } = agent.controlHandler.compare({ settled: 0, recent: [] });
  expect(recent.map(({ topic }) => topic)).toContain("fact/i-b");
});

test("pushes that an instance is live again if it was leaving", () => {
  const { agent, pushedTopicsAfter } = startAgent();
  agent.controlHandler.push([createFactNews(createFact("i-b", true))]);
  pushedTopicsAfter(5);
  const returned = {
    ...createFact("i-b", false),
    incarnation: "1800000000000",
  };
  agent.controlHandler.compare({
    settled: 0,
    recent: [createFactNews(returned)],
  });
  expect(pushedTopicsAfter(1)).toContain("fact/i-b");
});

test("pushes at once that an instance is leaving", () => {
  const { agent, pushedTopicsAfter } = startAgent();
  agent.controlHandler.push([createFactNews(createFact("i-b", true))]);
  expect(pushedTopicsAfter(1)).toContain("fact/i-b");
});

test("a reader informs its data centre, whose nodes do not push that on", () => {
  const { agent, informed, pushedTopicsAfter } = startAgent();
  expect(informed).toContainEqual(["10.0.0.3:2", "instance/i-b"]);
  expect(pushedTopicsAfter(5)).not.toContain("instance/i-b");
  const news = {
    topic: "instance/i-e",
    version: 12,
    digest: "d",
    value: JSON.stringify({ ...LISTED_INSTANCES[0], id: "i-e" }),
  };
  agent.controlHandler.inform([news]);
  expect(pushedTopicsAfter(5)).not.toContain("instance/i-e");
  agent.controlHandler.push([{ ...news, version: 13 }]);
  expect(pushedTopicsAfter(1)).toContain("instance/i-e");
});

function createOwnEntry(): PlatformInstance {
  return {
    id: "i-a",
    service: "seals",
    dataCentre: "east",
    address: "10.0.0.1:1",
    control: "10.0.0.1:2",
    state: "live",
    revision: 9,
  };
}

test("the list's id of the node, not its name, decides whether it reads", async () => {
  const { agent, reads } = startAgent([createOwnEntry()]);
  expect(agent.listedId()).toBe("i-a");
  expect(await reads()).toBe(true);
  const many = Array.from({ length: 60 }, (_, index) => ({
    ...createOwnEntry(),
    id: `i-${index}`,
    address: `10.0.1.${index}:1`,
    control: `10.0.1.${index}:2`,
  }));
  const readers = await Promise.all(many.map((entry) => {
    const own = { ...entry, address: "10.0.0.1:1", control: "10.0.0.1:2" };
    const others = many.filter(({ id }) => id !== entry.id);
    return startAgent([...others, own]).reads();
  }));
  const readerCount = readers.filter((isReader) => isReader).length;
  expect(readerCount).toBe(READERS_PER_DATA_CENTRE);
});

test("a reader tells a node at once that its backend server is leaving", () => {
  const [entry] = LISTED_INSTANCES;
  const leaving = { ...entry!, state: "leaving" as const, revision: 20 };
  const small = startAgent();
  small.informed.length = 0;
  small.sinks.onInstances([leaving]);
  expect(small.informed).toContainEqual([entry!.control, "instance/i-b"]);

  const many = Array.from({ length: 90 }, (_, index) => ({
    ...entry!,
    id: `i-${index}`,
    control: `10.0.1.${index}:2`,
  }));
  const large = startAgent([...LISTED_INSTANCES, ...many]);
  expect(large.informed).toEqual([]);
  large.informed.length = 0;
  large.sinks.onInstances([leaving]);
  expect(large.informed).toContainEqual([entry!.control, "instance/i-b"]);
});

// Guards against nodes that learn of changes only while they are listed.
test("a node that has asked is informed, whether or not it is listed", () => {
  const { agent, sinks, informed } = startAgent();
  const [entry, other] = LISTED_INSTANCES;
  sinks.onInstances([{ ...entry!, state: "gone", revision: 20 }]);
  for (const source of [entry!.control, "10.0.0.99:2"]) {
    agent.controlHandler.compare({ settled: 0, recent: [], source });
  }
  informed.length = 0;
  sinks.onInstances([{ ...other!, slots: 9, revision: 21 }]);
  expect(informed).toContainEqual([entry!.control, "instance/i-c"]);
  expect(informed).toContainEqual(["10.0.0.99:2", "instance/i-c"]);
});

test("addresses that ask are informed up to a bound", () => {
  const { agent, sinks, informed } = startAgent();
  for (let index = 0; index < 1_000; index++) {
    const source = `10.1.${index >> 8}.${index & 255}:2`;
    agent.controlHandler.compare({ settled: 0, recent: [], source });
  }
  informed.length = 0;
  sinks.onInstances([{ ...LISTED_INSTANCES[0]!, slots: 9, revision: 21 }]);
  expect(informed.length).toBeLessThan(100);
});

test("an instance that a list lacks is known to the feed with its revision", () => {
  const { agent, sinks } = startAgent();
  const entry = { ...createOwnEntry(), id: "i-z", address: "10.0.0.9:1" };
  const { revision, ...listed } = entry;
  agent.controlHandler.push([{
    topic: "instance/i-z",
    version: revision,
    digest: "d",
    value: JSON.stringify(listed),
  }]);
  expect(sinks.knownInstances()).toContainEqual(entry);
  sinks.onInstances([{ ...entry, state: "gone", revision: 10 }]);
  expect(sinks.knownInstances().map(({ id }) => id)).not.toContain("i-z");
});
