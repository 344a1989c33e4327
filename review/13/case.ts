/**
 * A client reads a long answer while the node that delivers it is stopped with
 * SIGTERM.
 */

import { openConnection } from "../lib_3/client.ts";
import { isReady, runCase, sleep, terminate } from "../lib_3/fleet.ts";

const ANSWER_BYTES = 12_000_000;
const DEADLINE_MS = 20_000;

runCase({
  machines: [
    { service: "reports", zone: "zone-a" },
    { service: "reports", zone: "zone-b" },
    { service: "reports", zone: "zone-c" },
  ],
  routes: {
    "r-read": {
      host: "reports.example",
      prefix: "/read/",
      type: "idempotent",
      timeout_s: 20,
      target_latency_s: 10,
      priority: 1,
      service: "reports",
      max_attempts: 2,
    },
  },
}, async ({ record, machines, ports, isTroubled }) => {
  const [machine] = machines;
  if (machine === undefined) throw new Error("no machine");
  const { host } = machine;
  const client = await openConnection(host, ports.outbound);
  const answer = client.send({
    requestId: "long-answer",
    host: "reports.example",
    path: `/read/long?ms=4500&bytes=${ANSWER_BYTES}`,
    deadlineMs: DEADLINE_MS,
  });
  record("client sends long-answer");
  await sleep(600);
  const stoppedAt = Date.now();
  if (isTroubled) {
    record(`SIGTERM to ${machine.name}`);
    terminate(machine).then(() =>
      record(`${machine.name} ended ${Date.now() - stoppedAt} ms later`)
    );
  }
  const { status, body, isComplete, at } = await answer;
  record(
    `client has status ${status} and ${body.length} of ${ANSWER_BYTES} bytes ` +
      `of long-answer, ${at - stoppedAt} ms later, complete: ${isComplete}`,
  );
  record(`ready: ${await isReady(host, ports.readiness)}`);
  if (isComplete) return undefined;
  return "LOST: the connection ended without a complete answer";
});
