/**
 * The nodes are restarted one after the other while clients go on sending a
 * request that crashes each backend server that begins to run it.
 */

import process from "node:process";
import { openConnection } from "../lib_3/client.ts";
import { type Machine, runCase, sleep, terminate } from "../lib_3/fleet.ts";

/** Whether the disruption takes place; `TROUBLE=0` leaves it out. */
const isTroubled = process.env.TROUBLE !== "0";
/** Pause between two sends of the request at a machine. */
const SEND_PERIOD_MS = 2_000;
/** Pause between two other requests at a machine. */
const READ_PERIOD_MS = 100;
/** Time after its start from which a machine gets the request again. */
const IN_TOUCH_MS = 4_000;
/** Pause between the restarts of two machines. */
const RESTART_GAP_MS = 5_000;
const DEADLINE_MS = 5_000;
/** `stable_window_s` of the settings. */
const STABLE_WINDOW_MS = 3_000;
/** Retries that the rule allows after the third crash. */
const RETRIES_MAX = 3;
const CRASHES_BEFORE = 3;

runCase({
  machines: [
    { service: "reports", zone: "zone-a" },
    { service: "reports", zone: "zone-b" },
    { service: "reports", zone: "zone-c" },
    { service: "reports", zone: "zone-a" },
    { service: "reports", zone: "zone-b" },
    { service: "reports", zone: "zone-c" },
  ],
  routes: {
    "r-read": {
      host: "reports.example",
      prefix: "/read/",
      type: "idempotent",
      timeout_s: 5,
      target_latency_s: 2,
      priority: 1,
      service: "reports",
      max_attempts: 2,
    },
  },
}, async ({ record, machines, ports }) => {
  record(`trouble: ${isTroubled}`);
  /** Machines that are in touch. */
  const inTouch = new Set(machines);
  let sent = 0;
  let isOver = false;

  async function request(
    { host }: Machine,
    options: { readonly requestId: string; readonly path: string },
  ): Promise<number> {
    const client = await openConnection(host, ports.outbound);
    const { status } = await client.send({
      ...options,
      host: "reports.example",
      deadlineMs: DEADLINE_MS,
    });
    client.close();
    return status;
  }

  async function sendBad(machine: Machine): Promise<void> {
    const requestId = `bad-${++sent}-at-${machine.name}`;
    record(`client sends ${requestId}`);
    const path = "/read/bad?crash=1";
    const status = await request(machine, { requestId, path });
    record(`client has status ${status} for ${requestId}`);
  }

  async function read(machine: Machine): Promise<void> {
    for (let index = 0; !isOver; index++) {
      const requestId = `read-${index}-at-${machine.name}`;
      const path = `/read/${index}`;
      if (inTouch.has(machine)) {
        request(machine, { requestId, path }).catch(() =>
          record(`client has no connection for ${requestId}`)
        );
      }
      await sleep(READ_PERIOD_MS);
    }
  }

  async function sendToAll(): Promise<void> {
    while (!isOver) {
      for (const machine of machines) {
        if (inTouch.has(machine)) sendBad(machine);
        await sleep(SEND_PERIOD_MS / machines.length);
      }
    }
  }

  const sends = Promise.all([sendToAll(), ...machines.map(read)]);
  await sleep(5_000);
  for (const machine of machines) {
    if (isTroubled) {
      inTouch.delete(machine);
      record(`SIGTERM to ${machine.name}`);
      await terminate(machine);
      await machine.restart();
      await sleep(IN_TOUCH_MS);
      inTouch.add(machine);
    }
    await sleep(RESTART_GAP_MS - IN_TOUCH_MS);
  }
  isOver = true;
  await sends;
  await sleep(1_000);
  const crashes = machines.flatMap(({ upstream }) =>
    upstream.runs.filter((run) => run.end === "crashed")
  ).map((run) => run.startedAt).sort((a, b) => a - b);
  record(`${crashes.length} crashes`);
  const third = crashes[CRASHES_BEFORE - 1];
  if (third === undefined) return undefined;
  const later = crashes.filter((at) => at > third + STABLE_WINDOW_MS).length;
  record(`${later} of them over ${STABLE_WINDOW_MS} ms after the third`);
  if (later <= RETRIES_MAX) return undefined;
  return `BUDGET: ${later} retries after the third crash`;
});
