/**
 * The demo in platform mode: the bundled program on loopback under steady load
 * while a configuration changes, a process is killed and a backend server
 * leaves. Ends with 0, or with 1 when an invariant broke.
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

const PER_SERVICE = 2;
const STAGE_MS = 2_000;
const GAP_MS = 15;
/** Time within which the demo ends. */
const DEMO_LIMIT_MS = 60_000;
/** Statuses by which a request has not run. */
const NOT_RUN = new Set([408, 421, 429, 503]);
const LATE_ROUTE: DemoRoute = {
  name: "late",
  service: "seals",
  idempotent: true,
  priority: 1,
};

interface Counts {
  sent: number;
  answered: number;
  refused: number;
  failed: number;
}

interface Breaches {
  wrongAnswers: number;
  duplicateRuns: number;
  falseNotRun: number;
  newRouteNotServed: number;
  newToLeaving: number;
  cutByShutdown: number;
}

interface Reply {
  readonly status: number;
  readonly body: string;
  readonly signature: string | undefined;
}

/** What callers saw of a fleet, and what its backend servers ran. */
function createPlatformSession(fleet: PlatformFleet) {
  const agent = new Agent({ keepAlive: true });
  const counts = new Map<string, Counts>();
  const replies = new Map<string, { route: DemoRoute; reply: Reply }>();
  let asked = 0;

  function ask(member: PlatformMember, route: DemoRoute): Promise<Reply> {
    const id = `demo-${++asked}`;
    const count = counts.get(route.name) ??
      { sent: 0, answered: 0, refused: 0, failed: 0 };
    counts.set(route.name, count);
    count.sent++;
    return new Promise((resolve) => {
      function settle(reply: Reply): void {
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
          return settle({ status: 0, body: "", signature: undefined });
        }
        const signature = incoming.headers["x-response-signature"];
        settle({
          status: incoming.statusCode ?? 0,
          body: new TextDecoder().decode(Buffer.concat(chunks)),
          signature: typeof signature === "string" ? signature : undefined,
        });
      });
      outgoing.once("error", () => {
        settle({ status: 0, body: "", signature: undefined });
      });
      outgoing.end();
    });
  }

  async function steady(
    timeMs: number,
    members: readonly PlatformMember[] = fleet.members,
  ): Promise<void> {
    const end = performance.now() + timeMs;
    const running: Promise<Reply>[] = [];
    for (let turn = 0; performance.now() < end; turn++) {
      const member = members[turn % members.length];
      const route = DEMO_ROUTES[turn % DEMO_ROUTES.length];
      if (member && route) running.push(ask(member, route));
      await new Promise((resolve) => setTimeout(resolve, GAP_MS));
    }
    await Promise.all(running);
  }

  function judge(breaches: Breaches): void {
    const runs = new Map<string, number>();
    for (const { backend } of fleet.members) {
      for (const { requestId } of backend.runs()) {
        runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
      }
    }
    for (const [id, { route, reply }] of replies) {
      const ran = runs.get(id) ?? 0;
      const whole = reply.body.startsWith(`answer to ${id} by `) &&
        reply.signature?.endsWith(`.${id}`) === true;
      if (reply.status === 200 && !whole) breaches.wrongAnswers++;
      if (route.idempotent) continue;
      if (ran > 1) breaches.duplicateRuns++;
      if (NOT_RUN.has(reply.status) && ran > 0) breaches.falseNotRun++;
    }
  }

  return { counts, ask, steady, judge, close: () => agent.destroy() };
}

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

function report(counts: ReadonlyMap<string, Counts>): void {
  const columns = ["sent", "answered", "refused", "failed"] as const;
  say(["route".padEnd(12), ...columns.map((c) => c.padStart(9))].join(""));
  for (const [route, count] of counts) {
    const cells = columns.map((column) => String(count[column]).padStart(9));
    say([route.padEnd(12), ...cells].join(""));
  }
}

async function main(): Promise<void> {
  setTimeout(() => {
    say(`not ended after ${DEMO_LIMIT_MS} ms`);
    process.exit(1);
  }, DEMO_LIMIT_MS).unref();
  const breaches: Breaches = {
    wrongAnswers: 0,
    duplicateRuns: 0,
    falseNotRun: 0,
    newRouteNotServed: 0,
    newToLeaving: 0,
    cutByShutdown: 0,
  };
  const fleet = await startPlatformFleet(PER_SERVICE);
  const session = createPlatformSession(fleet);
  say(`steady load on ${fleet.members.length} nodes`);
  await session.steady(STAGE_MS);

  say("a configuration adds a route");
  fleet.publish(2, [...DEMO_ROUTES, LATE_ROUTE]);
  await session.steady(STAGE_MS);
  for (const member of fleet.members) {
    const { status } = await session.ask(member, LATE_ROUTE);
    if (status !== 200) breaches.newRouteNotServed++;
  }

  const [killed, leaving] = fleet.members;
  if (killed === undefined || leaving === undefined) return;
  say(`${killed.id}: its process is killed and started again`);
  const others = fleet.members.filter((member) => member !== killed);
  const died = once(killed.child(), "exit");
  killed.child().kill("SIGKILL");
  await died;
  const restarted = killed.start();
  await session.steady(STAGE_MS, others);
  say(`${killed.id}: ready ${Math.round(await restarted)} ms after its start`);

  say(`${leaving.id}: its backend server drains, then its node is stopped`);
  leaving.register("draining");
  await session.steady(STAGE_MS);
  const runsBefore = leaving.backend.runs().length;
  const rest = fleet.members.filter((member) => member !== leaving);
  const exited = once(leaving.child(), "exit");
  const last = session.ask(leaving, DEMO_ROUTES[2] ?? LATE_ROUTE);
  leaving.child().kill("SIGTERM");
  leaving.unregister();
  await Promise.all([exited, session.steady(STAGE_MS, rest)]);
  if ((await last).status === 0) breaches.cutByShutdown++;
  breaches.newToLeaving += leaving.backend.runs().length - runsBefore;

  session.judge(breaches);
  report(session.counts);
  const broken = Object.entries(breaches).filter(([, count]) => count > 0);
  for (const [name, count] of broken) say(`broken: ${name} ${count}`);
  session.close();
  await fleet.close();
  say(`invariants held: ${broken.length === 0}`);
  process.exit(broken.length === 0 ? 0 : 1);
}

main();
