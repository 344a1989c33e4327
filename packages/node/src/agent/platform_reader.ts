/**
 * Reads the platform while this node is one of the readers of its data centre,
 * and probes the readers that it would replace.
 */

import type { Clock, Timer } from "@coltsfootdeal/kernel";
import {
  createReaderSelection,
  type ListedInstance,
  PAUSE_GAP_MIN_MS,
} from "@coltsfootdeal/policy";
import type { Audit } from "../admin/audit.ts";
import {
  CONTROL_TIMEOUT_MS,
  READER_CHECK_PERIOD_MS,
  READER_PROBE_PERIOD_MS,
} from "../constants.ts";
import type { ControlClient } from "./control_client.ts";
import type { Feed } from "./feed.ts";

/** Resolved configuration of a platform reader. */
export interface PlatformReaderConfig {
  readonly dataCentre: string;
  readonly clock: Clock;
  readonly audit: Audit;
  readonly control: ControlClient;
  readonly feed: Feed;
  /** Id of this node among the members; undefined if it is none of them. */
  readonly self: () => string | undefined;
  /** The nodes of the data centre, an entry each. */
  readonly members: () => readonly ListedInstance[];
  readonly hasBundle: () => boolean;
  /** Called when a probed node answers that it reads the platform. */
  readonly onReaderAnswer: () => void;
}

/** Reads the platform if and while this node is a reader. */
export interface PlatformReader {
  /** Begins the periodic checks. Before it, the platform is not read. */
  readonly start: () => void;
  /** Starts or stops reading, as the reader selection decides. */
  readonly update: () => void;
  readonly close: () => void;
}

/** Time after its start at which a node without a bundle reads the platform. */
const BUNDLE_WAIT_MS = 3_000;

/** Creates a platform reader that has not started. */
export function createPlatformReader(
  config: PlatformReaderConfig,
): PlatformReader {
  const { clock, audit, control, feed } = config;
  const timers: Timer[] = [];
  const readers = createReaderSelection<ListedInstance>({
    dataCentre: config.dataCentre,
    now: clock.now(),
  });
  let startedAt: number | undefined;

  function role() {
    const context = { self: config.self(), now: clock.now() };
    return readers.role(config.members(), context);
  }

  function update(): void {
    if (startedAt === undefined) return;
    const now = clock.now();
    const { kind } = role();
    if (kind === "unlisted") return feed.readOnce();
    const lacksBundle = !config.hasBundle() && now - startedAt > BUNDLE_WAIT_MS;
    const shouldRead = kind === "reader" || lacksBundle;
    if (shouldRead === feed.active()) return;
    const event = shouldRead ? "reader_started" : "reader_stopped";
    audit.record(event, { role: kind, members: config.members().length });
    if (shouldRead) feed.start();
    else feed.stop();
  }

  function probeReaders(): void {
    const current = role();
    switch (current.kind) {
      case "reader":
      case "standby":
        for (const member of current.probe) probeReader(member);
        break;
      case "unlisted":
      case "none":
    }
  }

  async function probeReader(member: ListedInstance): Promise<void> {
    const probedAt = clock.now();
    const reply = await control.identity(member.control);
    // A process that was held up has not read a reply that may be there.
    const overdueMs = clock.now() - probedAt - CONTROL_TIMEOUT_MS;
    if (reply.isErr() && overdueMs >= PAUSE_GAP_MIN_MS) return;
    const reads = reply.isOk() && reply.value.readsPlatform;
    if (reads) config.onReaderAnswer();
    readers.recordProbe(member.id, reads, clock.now());
  }

  return {
    start: () => {
      startedAt = clock.now();
      timers.push(
        clock.every(READER_CHECK_PERIOD_MS, update),
        clock.every(READER_PROBE_PERIOD_MS, probeReaders),
      );
      update();
    },
    update,
    close: () => {
      startedAt = undefined;
      for (const timer of timers) timer.close();
      feed.close();
    },
  };
}
