import type { Clock } from "@coltsfootdeal/kernel";
import {
  createReaderSelection,
  type ListedInstance,
  READERS_PER_DATA_CENTRE,
} from "@coltsfootdeal/policy";
import { err } from "neverthrow";
import { expect, test } from "vitest";
import type { Audit } from "../../admin/audit.ts";
import { CONTROL_TIMEOUT_MS, READER_PROBE_PERIOD_MS } from "../../constants.ts";
import type { ControlClient } from "../control_client.ts";
import type { Feed } from "../feed.ts";
import { createPlatformReader } from "../platform_reader.ts";

const MEMBERS: readonly ListedInstance[] = Array.from(
  { length: READERS_PER_DATA_CENTRE + 1 },
  (_, index) => ({
    id: `i-${index}`,
    service: "seals",
    dataCentre: "east",
    address: `10.0.0.${index}:1`,
    control: `10.0.0.${index}:2`,
    state: "live",
  }),
);

/** The member that replaces a reader that does not respond. */
function findStandby(): string {
  const selection = createReaderSelection<ListedInstance>({
    dataCentre: "east",
    now: 0,
  });
  const standby = MEMBERS.find(({ id }) =>
    selection.role(MEMBERS, { self: id, now: 0 }).kind === "standby"
  );
  return standby?.id ?? "";
}

/**
 * Probes silent readers a few times; each probe ends `probeMs` after it began.
 * Returns whether the node has replaced them.
 */
async function replacesReaders(probeMs: number): Promise<boolean> {
  let now = 0;
  let isActive = false;
  const periods: (() => void)[] = [];
  const clock: Clock = {
    now: () => now,
    after: () => ({ close: () => {} }),
    every: (_ms, run) => {
      periods.push(run);
      return { close: () => {} };
    },
  };
  const feed: Partial<Feed> = {
    start: () => {
      isActive = true;
    },
    active: () => isActive,
    close: () => {},
  };
  const control: Partial<ControlClient> = {
    identity: async (address) => {
      await Promise.resolve();
      return err({ kind: "unreachable", address });
    },
  };
  const audit: Partial<Audit> = { record: () => {} };
  const reader = createPlatformReader({
    dataCentre: "east",
    clock,
    audit: audit as Audit,
    control: control as ControlClient,
    feed: feed as Feed,
    self: findStandby,
    members: () => MEMBERS,
    hasBundle: () => true,
    onReaderAnswer: () => {},
  });
  reader.start();
  for (let round = 0; round < 3; round++) {
    now += READER_PROBE_PERIOD_MS;
    for (const run of periods) run();
    now += probeMs;
    await new Promise((resolve) => setImmediate(resolve));
  }
  reader.update();
  reader.close();
  return isActive;
}

test("a standby replaces readers that do not answer its probes", async () => {
  expect(await replacesReaders(CONTROL_TIMEOUT_MS)).toBe(true);
});

test("a standby that was held up does not take its readers for silent", async () => {
  expect(await replacesReaders(CONTROL_TIMEOUT_MS + 600)).toBe(false);
});
