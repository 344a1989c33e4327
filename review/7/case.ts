/**
 * The store also holds entries of another writer: a process on each machine,
 * of a service that no configuration names. All processes of the system are
 * killed and start again; the servers run all the while. `recovery_s` later,
 * requests must be served again.
 */

import { once } from "node:events";
import { send } from "../lib_2/client.ts";
import {
  formatEntry,
  hasTrouble,
  runCase,
  sleep,
  startFleet,
} from "../lib_2/fleet.ts";

const SERVICES = ["billing", "billing", "billing"];
/** Time until the processes start again, in ms. */
const DOWN_MS = 900;
/** `recovery_s` */
const RECOVERY_MS = 15_000;
const REQUESTS = 30;

runCase(async (record) => {
  const fleet = await startFleet(SERVICES, {
    post: { service: "billing", idempotent: false, timeoutS: 3 },
  }, {
    beforeStart: ({ store, machines }) => {
      for (const { name, ip, zone } of machines) {
        const entry = formatEntry({
          address: `${ip}:9100`,
          service: "node-metrics",
          zone,
          bornAt: Date.now(),
          sequence: 1,
          coldS: 0,
        });
        store.put(`servers/metrics-${name}`, entry);
        record.write(`entry servers/metrics-${name}: ${entry}`);
      }
    },
  });
  let sent = 0;

  /** Sends requests to all machines in turn; resolves with those served. */
  async function countServed(): Promise<number> {
    let served = 0;
    for (let index = 0; index < REQUESTS; index++) {
      const machine = fleet.machines[index % fleet.machines.length];
      if (machine === undefined) throw new Error("no machine");
      const id = `r${++sent}`;
      const path = `/post/${id}`;
      const request = { id, method: "POST", path, deadlineMs: 3_000 } as const;
      const { status, body } = await send(machine.outbound, request);
      const text = status === 200 ? "" : ` ${body.toString("utf8")}`;
      record.write(`${id} to ${machine.name}: status ${status}${text}`);
      if (status === 200) served++;
      await sleep(50);
    }
    return served;
  }

  try {
    const before = await countServed();
    record.write(`served before: ${before} of ${REQUESTS}`);
    if (hasTrouble) {
      record.write("all processes are killed");
      const exits = fleet.machines.map(({ child }) => once(child(), "exit"));
      for (const { child } of fleet.machines) child().kill("SIGKILL");
      await Promise.all(exits);
      await sleep(DOWN_MS);
      await Promise.all(fleet.machines.map(async ({ name, start }) => {
        await start();
        record.write(`${name} is back and ready`);
      }));
    }
    await sleep(RECOVERY_MS);
    const after = await countServed();
    record.write(`served after: ${after} of ${REQUESTS}`);
    for (const { upstream } of fleet.machines) {
      record.write(`${upstream.id} ran ${upstream.runs().length} requests`);
    }
    const isBroken = before >= REQUESTS / 4 && after < REQUESTS / 4;
    return isBroken
      ? [`RECOVER: ${before} of ${REQUESTS} served before, ${after} after`]
      : [];
  } finally {
    await fleet.close();
  }
});
