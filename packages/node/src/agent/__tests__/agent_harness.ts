/** An agent on a feed and a control client that the test drives. */

import type { Clock } from "@coltsfootdeal/kernel";
import {
  createRouter,
  createSuspects,
  GOSSIP_PUSH_PERIOD_MS,
  type ListedInstance,
  type News,
} from "@coltsfootdeal/policy";
import { err, ok } from "neverthrow";
import { type AgentConfig, createAgent } from "../agent.ts";
import { READER_CHECK_PERIOD_MS } from "../../constants.ts";
import type { Feed, FeedSinks, PlatformInstance } from "../feed.ts";

/** Instances that a started agent hears of first. */
export const LISTED_INSTANCES = ["b", "c", "d"].map((name, index) => ({
  id: `i-${name}`,
  service: "seals",
  dataCentre: "east",
  address: `10.0.0.${index + 2}:1`,
  control: `10.0.0.${index + 2}:2`,
  state: "live" as const,
  revision: index + 1,
}));

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

/** Starts an agent whose own entry in the instance list is `i-a`. */
export function startAgent(
  listed: readonly PlatformInstance[] = LISTED_INSTANCES,
) {
  const { clock, runPeriods } = createManualClock();
  const pushed: News[] = [];
  const informed: (readonly [address: string, topic: string])[] = [];
  let isActive = false;
  let own: ListedInstance | undefined;
  let sinks: FeedSinks | undefined;
  const feed: Feed = {
    start: () => {
      isActive = true;
    },
    stop: () => {
      isActive = false;
    },
    active: () => isActive,
    readOnce: () => {},
    check: () => Promise.resolve(undefined),
    confirmedAt: () => undefined,
    position: () => undefined,
    reachable: () => true,
    answeredAt: () => undefined,
    advance: () => {},
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
    listedBackend: { host: "10.0.0.1", port: 1 },
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
    onOwnInstance: (instance) => {
      own = instance;
    },
    onOwnReport: () => {},
    control: {
      push: (_address: string, news: readonly News[]) => {
        pushed.push(...news);
        return Promise.resolve(ok(undefined));
      },
      inform: (address: string, news: readonly News[]) => {
        for (const { topic } of news) informed.push([address, topic]);
        return Promise.resolve(ok(undefined));
      },
      identity: () => Promise.resolve(ok({ readsPlatform: true })),
      compare: (address: string) =>
        Promise.resolve(err({ kind: "unreachable" as const, address })),
    } as unknown as AgentConfig["control"],
  });
  agent.start();
  sinks?.onInstances(listed);
  return {
    agent,
    sinks: sinks!,
    informed,
    /** The own backend server as the agent last passed it on. */
    own: () => own,
    reads: async () => {
      // The bootstrap without seeds ends in a microtask.
      await Promise.resolve();
      runPeriods(READER_CHECK_PERIOD_MS, 1);
      return isActive;
    },
    pushedTopicsAfter: (rounds: number) => {
      pushed.length = 0;
      runPeriods(GOSSIP_PUSH_PERIOD_MS, rounds);
      return pushed.map(({ topic }) => topic);
    },
  };
}
