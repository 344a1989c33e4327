import type { Clock } from "@coltsfootdeal/kernel";
import {
  createRouter,
  createSuspects,
  type InstanceFact,
  type News,
  RUMOUR_PERIOD_MS,
} from "@coltsfootdeal/policy";
import { ok } from "neverthrow";
import { expect, test } from "vitest";
import { type AgentConfig, createAgent } from "../agent.ts";
import type { Feed, FeedSinks } from "../feed.ts";
import { factNews } from "../news.ts";

const LISTED = ["b", "c", "d"].map((name, index) => ({
  id: `i-${name}`,
  service: "seals",
  dataCentre: "east",
  address: `10.0.0.${index + 2}:1`,
  control: `10.0.0.${index + 2}:2`,
  state: "live" as const,
  revision: index + 1,
}));

function factOf(id: string, leaving: boolean): InstanceFact {
  return { id, incarnation: "1700000000000-x", leaving };
}

/** A clock whose periods a test ends by hand. */
function createHandClock() {
  const periods: { readonly ms: number; readonly run: () => void }[] = [];
  let now = 0;
  const clock: Clock = {
    now: () => now,
    after: () => ({ close: () => {} }),
    every: (ms, run) => {
      periods.push({ ms, run });
      return { close: () => {} };
    },
  };
  return {
    clock,
    /** Lets all periods of a length end `times` times. */
    pass: (ms: number, times: number) => {
      for (let count = 0; count < times; count++) {
        now += ms;
        for (const period of periods) if (period.ms === ms) period.run();
      }
    },
  };
}

function startAgent(readers: "all" | "elected") {
  const { clock, pass } = createHandClock();
  const pushed: News[] = [];
  let sinks: FeedSinks | undefined;
  const feed: Feed = {
    start: () => {},
    stop: () => {},
    active: () => true,
    reachable: () => true,
    close: () => {},
  };
  const settings: Partial<AgentConfig["settings"]> = {
    instance: "a",
    service: "seals",
    dataCentre: "east",
    dataCentres: ["east"],
    data: { host: "10.0.0.1", port: 1 },
    control: { host: "10.0.0.1", port: 2 },
    seeds: [],
    readers,
  };
  const agent = createAgent({
    settings: settings as AgentConfig["settings"],
    incarnation: "1700000000000-a",
    clock,
    audit: { record: () => {} } as unknown as AgentConfig["audit"],
    store: { catalog: () => undefined } as unknown as AgentConfig["store"],
    router: createRouter({ owner: "a", dataCentres: ["east"] }),
    suspects: createSuspects(),
    createFeed: (given) => {
      sinks = given;
      return feed;
    },
    onOwnInstance: () => {},
    control: {
      push: (_address: string, news: readonly News[]) => {
        pushed.push(...news);
        return Promise.resolve(ok(undefined));
      },
    } as unknown as AgentConfig["control"],
  });
  agent.start();
  sinks?.onInstances(LISTED);
  return {
    agent,
    pushedAfter: (rounds: number) => {
      pushed.length = 0;
      pass(RUMOUR_PERIOD_MS, rounds);
      return pushed.map(({ topic }) => topic);
    },
  };
}

test("what all nodes read for themselves makes no rumours, however it is learned", () => {
  const { agent, pushedAfter } = startAgent("all");
  expect(pushedAfter(5)).toEqual([]);
  agent.controlHandler.compare({
    settled: 0,
    recent: LISTED.map(({ id }) => factNews(factOf(id, false))),
  });
  expect(pushedAfter(5)).toEqual([]);
});

test("that an instance leaves is told on at once", () => {
  const { agent, pushedAfter } = startAgent("all");
  agent.controlHandler.push([factNews(factOf("i-b", true))]);
  expect(pushedAfter(1)).toContain("fact/i-b");
});

test("where a few nodes read for all, the list spreads as rumours", () => {
  const { pushedAfter } = startAgent("elected");
  expect(pushedAfter(1)).toContain("instance/i-b");
});
