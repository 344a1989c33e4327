/**
 * Runs the bundled platform program on loopback under steady load, while the
 * configuration changes, a node is killed and a backend server leaves. Exits
 * with 0 if all invariants held, else with 1.
 */

import { once } from "node:events";
import { Agent, request } from "node:http";
import process from "node:process";
import { MESH_HOST } from "@coltsfootdeal/standin";
import {
  DEMO_ROUTES,
  type DemoRoute,
  type PlatformFleet,
  type PlatformMember,
  startPlatformFleet,
} from "./platform_fleet.ts";

const MEMBERS_PER_SERVICE = 2;
const STAGE_MS = 2_000;
const REQUEST_INTERVAL_MS = 15;
/**
 * Time for the whole demo, from its start, after which it is considered hung and
 * aborted.
 */
const DEMO_TIMEOUT_MS = 60_000;
/** Statuses of requests that were not run. */
const NOT_RUN = new Set([408, 421, 429, 503]);
/** The route that a later configuration adds. */
const LATE_ROUTE: DemoRoute = {
  name: "late",
  service: "seals",
  idempotent: true,
  priority: 1,
};

/** Number of requests of one route by their outcome. */
interface Counts {
  sent: number;
  answered: number;
  refused: number;
  failed: number;
}

/** Number of breaches of each invariant. */
interface Breaches {
  /** Answers that are incomplete, unsigned or belong to another request. */
  wrongAnswers: number;
  /** Non-idempotent requests that ran more than once. */
  duplicateRuns: number;
  /** Non-idempotent requests that ran although `NOT_RUN` has their status. */
  falseNotRun: number;
  /** Nodes that did not serve the added route. */
  newRouteNotServed: number;
  /** Requests that the draining backend server ran while its node stopped. */
  newToLeaving: number;
  /** Requests whose connection broke as the node stopped. */
  cutByShutdown: number;
}

interface Reply {
  /** 0 if the connection failed. */
  readonly status: number;
  readonly body: string;
  readonly signature: string | undefined;
}

/** Creates the callers of a fleet, which record every answer. */
function createPlatformSession(fleet: PlatformFleet) {
  const agent = new Agent({ keepAlive: true });
  const counts = new Map<string, Counts>();
  const replies = new Map<string, { route: DemoRoute; reply: Reply }>();
  let requestCount = 0;

  function sendRequest(
    member: PlatformMember,
    route: DemoRoute,
  ): Promise<Reply> {
    const id = `demo-${++requestCount}`;
    const count = counts.get(route.name) ??
      { sent: 0, answered: 0, refused: 0, failed: 0 };
    counts.set(route.name, count);
    count.sent++;
    return new Promise((resolve) => {
      function recordReply(reply: Reply): void {
        if (reply.status === 200) count.answered++;
        else if (NOT_RUN.has(reply.status)) count.refused++;
        else count.failed++;
        replies.set(id, { route, reply });
        resolve(reply);
      }
      const outgoing = request({
        ...member.callers,
        path: `/${route.name}/${id}`,
        agent,
        headers: {
          host: MESH_HOST,
          "x-request-id": id,
          "x-request-deadline": "1500",
        },
      }, async (incoming) => {
        const chunks: Uint8Array[] = [];
        try {
          for await (const chunk of incoming) chunks.push(chunk);
        } catch {
          return recordReply({ status: 0, body: "", signature: undefined });
        }
        const signature = incoming.headers["x-response-signature"];
        recordReply({
          status: incoming.statusCode ?? 0,
          body: new TextDecoder().decode(Buffer.concat(chunks)),
          signature: typeof signature === "string" ? signature : undefined,
        });
      });
      outgoing.once("error", () => {
        recordReply({ status: 0, body: "", signature: undefined });
      });
      outgoing.end();
    });
  }

  async function runSteadyLoad(
    timeMs: number,
    members: readonly PlatformMember[] = fleet.members,
  ): Promise<void> {
    const end = performance.now() + timeMs;
    const running: Promise<Reply>[] = [];
    for (let turn = 0; performance.now() < end; turn++) {
      const member = members[turn % members.length];
      const route = DEMO_ROUTES[turn % DEMO_ROUTES.length];
      if (member && route) running.push(sendRequest(member, route));
      await new Promise((resolve) => setTimeout(resolve, REQUEST_INTERVAL_MS));
    }
    await Promise.all(running);
  }

  function countBreaches(breaches: Breaches): void {
    const runs = new Map<string, number>();
    for (const { backend } of fleet.members) {
      for (const { requestId } of backend.runs()) {
        runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
      }
    }
    for (const [id, { route, reply }] of replies) {
      const runCount = runs.get(id) ?? 0;
      const isComplete = reply.body.startsWith(`answer to ${id} by `) &&
        reply.signature?.endsWith(`.${id}`) === true;
      if (reply.status === 200 && !isComplete) breaches.wrongAnswers++;
      if (route.idempotent) continue;
      if (runCount > 1) breaches.duplicateRuns++;
      if (NOT_RUN.has(reply.status) && runCount > 0) breaches.falseNotRun++;
    }
  }

  return {
    counts,
    sendRequest,
    runSteadyLoad,
    countBreaches,
    close: () => agent.destroy(),
  };
}

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

function report(counts: ReadonlyMap<string, Counts>): void {
  const columns = ["sent", "answered", "refused", "failed"] as const;
  printLine(
    ["route".padEnd(12), ...columns.map((c) => c.padStart(9))].join(""),
  );
  for (const [route, count] of counts) {
    const cells = columns.map((column) => String(count[column]).padStart(9));
    printLine([route.padEnd(12), ...cells].join(""));
  }
}

async function main(): Promise<void> {
  setTimeout(() => {
    printLine(`not ended after ${DEMO_TIMEOUT_MS} ms`);
    process.exit(1);
  }, DEMO_TIMEOUT_MS).unref();
  const breaches: Breaches = {
    wrongAnswers: 0,
    duplicateRuns: 0,
    falseNotRun: 0,
    newRouteNotServed: 0,
    newToLeaving: 0,
    cutByShutdown: 0,
  };
  const fleet = await startPlatformFleet({ perService: MEMBERS_PER_SERVICE });
  const session = createPlatformSession(fleet);
  printLine(`steady load on ${fleet.members.length} nodes`);
  await session.runSteadyLoad(STAGE_MS);

  printLine("a configuration adds a route");
  fleet.publish(2, [...DEMO_ROUTES, LATE_ROUTE]);
  await session.runSteadyLoad(STAGE_MS);
  for (const member of fleet.members) {
    const { status } = await session.sendRequest(member, LATE_ROUTE);
    if (status !== 200) breaches.newRouteNotServed++;
  }

  const [killed, leaving] = fleet.members;
  if (killed === undefined || leaving === undefined) return;
  printLine(`${killed.id}: its process is killed and started again`);
  const others = fleet.members.filter((member) => member !== killed);
  const killedExit = once(killed.child(), "exit");
  killed.child().kill("SIGKILL");
  await killedExit;
  const restarted = killed.start();
  await session.runSteadyLoad(STAGE_MS, others);
  printLine(
    `${killed.id}: ready ${Math.round(await restarted)} ms after its start`,
  );

  printLine(
    `${leaving.id}: its backend server drains, then its node is stopped`,
  );
  leaving.register("draining");
  await session.runSteadyLoad(STAGE_MS);
  const runsBefore = leaving.backend.runs().length;
  const remaining = fleet.members.filter((member) => member !== leaving);
  const exited = once(leaving.child(), "exit");
  const lastRequest = session.sendRequest(
    leaving,
    DEMO_ROUTES[2] ?? LATE_ROUTE,
  );
  leaving.child().kill("SIGTERM");
  leaving.unregister();
  await Promise.all([exited, session.runSteadyLoad(STAGE_MS, remaining)]);
  if ((await lastRequest).status === 0) breaches.cutByShutdown++;
  breaches.newToLeaving += leaving.backend.runs().length - runsBefore;

  session.countBreaches(breaches);
  report(session.counts);
  const breached = Object.entries(breaches).filter(([, count]) => count > 0);
  for (const [name, count] of breached) printLine(`broken: ${name} ${count}`);
  session.close();
  await fleet.close();
  printLine(`invariants held: ${breached.length === 0}`);
  process.exit(breached.length === 0 ? 0 : 1);
}

main();
