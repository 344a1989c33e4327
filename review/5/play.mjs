/**
 * Two upstreams are lost for good. The nodes beside them still serve clients,
 * and must apply changes of the configuration in time.
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

const MACHINES = 9;
/** Three heartbeat intervals, after which the platform removes an entry. */
const EXPIRY_MS = 4_500;
/** Time from then to the first change of the configuration. */
const CALM_MS = 31_000;
const CHANGE_MS = 330;
const CHANGES = 75;
const CONFIGURATION_APPLY_MS = 2_000;
const PAUSE_MS = 20;

await runCase(async () => {
  const record = createRecord(import.meta.dirname);
  const createRoutes = (count) =>
    Object.fromEntries(
      Array.from({ length: count }, (_, index) => [
        `route-${index + 1}`,
        createRoute({ prefix: `/route-${index + 1}/`, service: "parlist" }),
      ]),
    );
  const fleet = await startFleet({
    record,
    machines: Array.from({ length: MACHINES }, () => ({ service: "parlist" })),
    routes: createRoutes(1),
  });
  const servers = await Promise.all(
    fleet.machines.map((machine) =>
      startServer(machine, {
        record: () => {},
        run: async () => {
          await sleep(10);
          return {};
        },
      })
    ),
  );
  await fleet.start();
  const client = createClient(fleet, { record });
  const judged = fleet.machines.slice(-2);
  if (HAS_TROUBLE) {
    for (const server of servers.slice(-2)) server.close();
    record(`lost for good: ${judged.map(({ id }) => id).join(", ")}`);
    await sleep(EXPIRY_MS);
    for (const { id } of judged) fleet.store.remove(`servers/${id}`);
    record("the platform has removed their entries");
  }
  await sleep(CALM_MS);
  for (const machine of judged) {
    const status = await fleet.readinessOf(machine);
    record(`${machine.name}: the readiness check is answered ${status}`);
  }

  /** Times of the acknowledgements, by version. */
  const ackedAt = new Map();
  let isChanging = true;
  async function change() {
    for (let version = 2; version <= CHANGES + 1; version++) {
      fleet.publish(version, createRoutes(version));
      ackedAt.set(version, performance.now());
      record(`version ${version} is acknowledged: it adds a route`);
      await sleep(CHANGE_MS);
    }
    await sleep(CONFIGURATION_APPLY_MS);
    isChanging = false;
  }

  let broken = 0;
  let sent = 0;
  async function check(machine) {
    while (isChanging) {
      await sleep(PAUSE_MS);
      const now = performance.now();
      const due = [...ackedAt].findLast(([, at]) =>
        at + CONFIGURATION_APPLY_MS < now
      );
      if (due === undefined) continue;
      const [version, at] = due;
      const path = `/route-${version}/1`;
      const { id, status } = await client.send(machine, { path, quiet: true });
      sent++;
      if (status !== 404) continue;
      broken++;
      record(
        `CONFIG: ${machine.name} answers ${id} GET ${path} with 404, sent ` +
          `${Math.round(now - at)} ms after the acknowledgement`,
      );
    }
  }

  await Promise.all([change(), ...judged.map(check)]);
  record(`${broken} of ${sent} requests were handled as an older version`);
  client.close();
  await fleet.close();
  for (const server of servers) server.close();
  return broken > 0;
});
process.exit();
