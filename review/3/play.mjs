/**
 * Most machines are lost at once. The two that are left must apply a change of
 * the configuration in time.
 */

import process from "node:process";
import { createClient } from "../lib/client.mjs";
import {
  createRecord,
  createRoute,
  HAS_TROUBLE,
  runCase,
  sleep,
  startFleet,
} from "../lib/fleet.mjs";
import { startServer } from "../lib/server.mjs";

/** Machines of each zone, as in the small deployment. */
const ZONES = [
  ..."abcabcabcabcaa",
].map((letter) => `zone-${letter}`);
/** The machines that are not lost, by number; both are in zone-a. */
const LEFT = [1, 13];
/** Three heartbeat intervals, after which the platform removes an entry. */
const EXPIRY_MS = 4_500;
const STABLE_WINDOW_MS = 3_000;
const CONFIGURATION_APPLY_MS = 2_000;
const WATCH_MS = 15_000;
const PAUSE_MS = 100;

await runCase(async () => {
  const record = createRecord(import.meta.dirname);
  const before = {
    old: createRoute({ prefix: "/old/", service: "parlist" }),
  };
  const after = {
    new: createRoute({ prefix: "/new/", service: "parlist" }),
  };
  const fleet = await startFleet({
    record,
    machines: ZONES.map((zone) => ({ service: "parlist", zone })),
    routes: before,
  });
  const servers = await Promise.all(
    fleet.machines.map((machine) =>
      startServer(machine, {
        record,
        run: async () => {
          await sleep(20);
          return {};
        },
      })
    ),
  );
  await fleet.start();
  const client = createClient(fleet, { record });
  const left = LEFT.map((number) => fleet.machines[number - 1]);
  const lost = fleet.machines.filter((machine) => !left.includes(machine));
  if (HAS_TROUBLE) {
    for (const machine of lost) {
      machine.child.kill("SIGKILL");
      servers[fleet.machines.indexOf(machine)].close();
    }
    record(`lost at once: ${lost.map(({ name }) => name).join(", ")}`);
    setTimeout(() => {
      for (const { id } of lost) fleet.store.remove(`servers/${id}`);
      record("the platform has removed the entries of the lost upstreams");
    }, EXPIRY_MS);
  }
  await sleep(STABLE_WINDOW_MS + 500);

  fleet.publish(2, after);
  const ackedAt = performance.now();
  record("version 2 is acknowledged: it adds /new/ and drops /old/");
  let broken = 0;
  while (performance.now() < ackedAt + WATCH_MS) {
    await sleep(PAUSE_MS);
    for (const machine of left) {
      const sinceMs = Math.round(performance.now() - ackedAt);
      if (sinceMs <= CONFIGURATION_APPLY_MS) continue;
      const added = await client.send(machine, { path: "/new/1" });
      const dropped = await client.send(machine, { path: "/old/1" });
      for (
        const [{ id, status }, isOld] of [
          [added, added.status === 404],
          [dropped, dropped.status === 200],
        ]
      ) {
        if (!isOld) continue;
        broken++;
        record(
          `CONFIG: ${machine.name} handles ${id}, sent ${sinceMs} ms after ` +
            `the acknowledgement, as version 1 does: ${status}`,
        );
      }
    }
  }
  record(`${broken} requests were handled as only version 1 allows`);
  client.close();
  await fleet.close();
  for (const server of servers) server.close();
  return broken > 0;
});
process.exit();
