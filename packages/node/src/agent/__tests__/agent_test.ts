import type { Clock } from "@coltsfootdeal/kernel";
import {
  createRouter,
  createSuspects,
  GOSSIP_PUSH_PERIOD_MS,
  type InstanceFact,
  type News,
} from "@coltsfootdeal/policy";
import { ok } from "neverthrow";
import { expect, test } from "vitest";
import { type AgentConfig, createAgent } from "../agent.ts";
import type { Feed, FeedSinks } from "../feed.ts";
import { createFactNews } from "../news.ts";

const LISTED_INSTANCES = ["b", "c", "d"].map((name, index) => ({
  id: `i-${name}`,
  service: "seals",
  dataCentre: "east",
  address: `10.0.0.${index + 2}:1`,
  control: `10.0.0.${index + 2}:2`,
  state: "live" as const,
  revision: index + 1,
}));

function createFact(id: string, leaving: boolean): InstanceFact {
  return { id, incarnation: "1700000000000-x", leaving };
}

/** Creates a clock whose periodic timers fire only in `runPeriods`. */
function createManualClock() {
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
    /** Fires all timers with a period of `ms`, `times` times. */
    runPeriods: (ms: number, times: number) => {
      for (let count = 0; count < times; count++) {
        now += ms;
        for (const period of periods) if (period.ms === ms) period.run();
      }
    },
  };
}

function startAgent(readers: "all" | "elected") {
  const { clock, runPeriods } = createManualClock();
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
    router: createRouter({ nodeId: "a", dataCentres: ["east"] }),
    suspects: createSuspects(),
    createFeed: (feedSinks) => {
      sinks = feedSinks;
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
  sinks?.onInstances(LISTED_INSTANCES);
  return {
    agent,
    pushedTopicsAfter: (rounds: number) => {
      pushed.length = 0;
      runPeriods(GOSSIP_PUSH_PERIOD_MS, rounds);
      return pushed.map(({ topic }) => topic);
    },
  };
}

test("does not push what all nodes read from the platform", () => {
  const { agent, pushedTopicsAfter } = startAgent("all");
  expect(pushedTopicsAfter(5)).toEqual([]);
  agent.controlHandler.compare({
    settled: 0,
    recent: LISTED_INSTANCES.map(({ id }) =>
      createFactNews(createFact(id, false))
    ),
  });
  expect(pushedTopicsAfter(5)).toEqual([]);
});

test("pushes at once that an instance is leaving", () => {
  const { agent, pushedTopicsAfter } = startAgent("all");
  agent.controlHandler.push([createFactNews(createFact("i-b", true))]);
  expect(pushedTopicsAfter(1)).toContain("fact/i-b");
});

test("pushes the instance list if only elected nodes read the platform", () => {
  const { pushedTopicsAfter } = startAgent("elected");
  expect(pushedTopicsAfter(1)).toContain("instance/i-b");
});
