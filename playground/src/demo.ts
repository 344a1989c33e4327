/**
 * The demo: both deployments on loopback, with calls of every kind, a flood
 * and a graceful shutdown. Ends with 0, or with 1 when an invariant broke.
 */

import process from "node:process";
import {
  type Client,
  type ClientOutcome,
  createClient,
} from "@coltsfootdeal/client";
import {
  createMalabar,
  createSeloVerde,
  type DemoKind,
  type Deployment,
} from "./deployments.ts";
import { type Fleet, startFleet } from "./fleet.ts";

/** Counts of one kind, as the callers saw them. */
interface KindCounts {
  sent: number;
  answered: number;
  refused: number;
  unknown: number;
  failed: number;
}

/** What must not have happened, counted. */
interface Breaches {
  /** Answers that are not whole or not to the caller's own request. */
  wrongAnswers: number;
  /** Bodies that must not repeat and ran more than once. */
  duplicateRuns: number;
  /** Refused calls whose body a backend server has seen. */
  falseNotRun: number;
  /** Protected calls that were refused in the flood of other work. */
  protectedRefused: number;
  /** Calls of the leaving node's callers that were cut off. */
  cutInFlight: number;
  /** Nodes that did not have the second bundle in force. */
  bundleMissing: number;
}

const asJson = process.argv.includes("--json");
const STEADY_MS = 1_500;
const FLOOD_MS = 2_500;
const STEADY_GAP_MS = 40;
const FLOOD_CALLERS = 150;
/** Time within which the demo ends. */
const DEMO_LIMIT_MS = 30_000;
let requests = 0;
let stage = "start";
let running: Fleet | undefined;

function print(value: object): void {
  if (asJson) process.stdout.write(`${JSON.stringify(value)}\n`);
}

/** Names the stage, so that a demo that hangs can tell where. */
function enter(next: string): void {
  stage = next;
  say(next);
}

/** Ends a demo that hangs, and shows what it waits for. */
function giveUp(): void {
  const nodes = (running?.members ?? []).map(({ id, node, backend }) => {
    const { gate, ingress, leaving } = node.status();
    return { id, gate, ingress, leaving, runs: backend.counts().inFlight };
  });
  const error = `not ended after ${DEMO_LIMIT_MS} ms in: ${stage}`;
  const resources = process.getActiveResourcesInfo();
  process.stdout.write(`${JSON.stringify({ error, nodes, resources })}\n`);
  print({ invariantsHeld: false });
  process.exit(1);
}

function say(text: string): void {
  if (!asJson) process.stdout.write(`${text}\n`);
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}

/** One run of a deployment: its fleet, its callers and what they saw. */
function createSession(deployment: Deployment, fleet: Fleet) {
  const counts = new Map<string, KindCounts>();
  const refusedBodies: string[] = [];
  const onceBodies: string[] = [];
  const clients = new Map<string, Client>();
  const breaches: Breaches = {
    wrongAnswers: 0,
    duplicateRuns: 0,
    falseNotRun: 0,
    protectedRefused: 0,
    cutInFlight: 0,
    bundleMissing: 0,
  };

  function clientOf(caller: string): Client {
    const known = clients.get(caller);
    if (known) return known;
    const start = clients.size % fleet.members.length;
    const members = [
      ...fleet.members.slice(start),
      ...fleet.members.slice(0, start),
    ];
    const client = createClient({
      nodes: members.slice(0, 4).map(({ node }) => node.dataAddress),
      identity: { account: deployment.account, caller },
    });
    clients.set(caller, client);
    return client;
  }

  function countsOf(kind: DemoKind): KindCounts {
    const name = `${kind.service}/${kind.kind}`;
    const known = counts.get(name);
    if (known) return known;
    const fresh = { sent: 0, answered: 0, refused: 0, unknown: 0, failed: 0 };
    counts.set(name, fresh);
    return fresh;
  }

  function checkAnswer(outcome: ClientOutcome, body: string): void {
    if (outcome.kind !== "answered") return;
    const echo = (JSON.parse(outcome.body.toString("utf8")) as {
      readonly echo?: string;
    }).echo;
    if (echo !== body) breaches.wrongAnswers++;
  }

  async function callOnce(kind: DemoKind, caller: number): Promise<void> {
    requests++;
    const name = `${kind.caller}-${caller}`;
    const body = `${kind.service}/${kind.kind} ${name} ${requests}`;
    const count = countsOf(kind);
    count.sent++;
    if (kind.once) onceBodies.push(body);
    const pending = clientOf(name).begin({ ...kind, body });
    const outcome = await pending.outcome;
    count[outcome.kind]++;
    checkAnswer(outcome, body);
    if (outcome.kind === "refused") {
      refusedBodies.push(body);
      if (kind.protected) breaches.protectedRefused++;
    }
    // Every caller of a call that must not repeat sends it again.
    if (kind.once && outcome.kind === "answered") {
      checkAnswer(await pending.resume(kind.deadlineMs), body);
    }
  }

  async function steady(timeMs: number): Promise<void> {
    const end = performance.now() + timeMs;
    const running: Promise<void>[] = [];
    for (let caller = 0; performance.now() < end; caller++) {
      for (const kind of deployment.kinds) {
        running.push(callOnce(kind, caller % 5));
      }
      await sleep(STEADY_GAP_MS);
    }
    await Promise.all(running);
  }

  async function flood(timeMs: number): Promise<void> {
    const end = performance.now() + timeMs;
    async function insist(caller: number): Promise<void> {
      while (performance.now() < end) {
        await callOnce(deployment.flood, caller);
        await sleep(5);
      }
    }
    const callers = Array.from({ length: FLOOD_CALLERS }, (_, i) => insist(i));
    await Promise.all([...callers, steady(timeMs)]);
  }

  async function shutdown(): Promise<void> {
    const leaving = fleet.members[0];
    if (leaving === undefined) return;
    const cutBefore = cutOff();
    await Promise.all([leaving.node.drain(), steady(STEADY_MS)]);
    breaches.cutInFlight += cutOff() - cutBefore;
  }

  function cutOff(): number {
    const all = [...counts.values()];
    return all.reduce((sum, { unknown, failed }) => sum + unknown + failed, 0);
  }

  /** Rolls a second bundle and counts the nodes that lack it after 5 s. */
  async function roll(): Promise<void> {
    fleet.roll(deployment.bundle.replace(/^version = 1$/m, "version = 2"));
    const deadline = performance.now() + 5_000;
    const lacking = () =>
      fleet.members.filter(({ node }) =>
        !node.status().bundles.some(({ version }) => version === 2)
      ).length;
    while (lacking() > 0 && performance.now() < deadline) await sleep(50);
    breaches.bundleMissing = lacking();
  }

  function judge(): void {
    const runs = new Map<string, number>();
    for (const { backend } of fleet.members) {
      for (const [body, count] of backend.counts().runsByBody) {
        runs.set(body, (runs.get(body) ?? 0) + count);
      }
    }
    for (const body of onceBodies) {
      if ((runs.get(body) ?? 0) > 1) breaches.duplicateRuns++;
    }
    for (const body of refusedBodies) {
      if (runs.has(body)) breaches.falseNotRun++;
    }
  }

  return {
    counts,
    breaches,
    steady,
    flood,
    roll,
    shutdown,
    judge,
    close: () => Promise.all([...clients.values()].map((c) => c.close())),
  };
}

async function runDeployment(deployment: Deployment): Promise<boolean> {
  say(`\n${deployment.name}: starting ${deployment.services.length} services`);
  const fleet = await startFleet(deployment);
  running = fleet;
  const session = createSession(deployment, fleet);
  enter("steady load, then a second bundle");
  await session.steady(STEADY_MS);
  await session.roll();
  const { service, kind } = deployment.flood;
  enter(`flood of ${service}/${kind}`);
  await session.flood(FLOOD_MS);
  enter("graceful shutdown of one node under load");
  await session.shutdown();
  session.judge();
  stage = "closing the fleet";
  await session.close();
  await fleet.close();
  report(deployment, session);
  return Object.values(session.breaches).every((count) => count === 0);
}

function report(
  deployment: Deployment,
  session: ReturnType<typeof createSession>,
): void {
  const columns = ["sent", "answered", "refused", "unknown", "failed"] as const;
  say(["kind".padEnd(36), ...columns.map((c) => c.padStart(9))].join(""));
  for (const [kind, counts] of session.counts) {
    print({ deployment: deployment.name, kind, ...counts });
    const cells = columns.map((column) => String(counts[column]).padStart(9));
    say([kind.padEnd(36), ...cells].join(""));
  }
  print({ deployment: deployment.name, breaches: session.breaches });
  const broken = Object.entries(session.breaches).filter(([, n]) => n > 0);
  for (const [name, count] of broken) say(`broken: ${name} ${count}`);
}

async function main(): Promise<void> {
  let invariantsHeld = true;
  setTimeout(giveUp, DEMO_LIMIT_MS).unref();
  for (const deployment of [createSeloVerde(), createMalabar()]) {
    const held = await runDeployment(deployment);
    invariantsHeld = invariantsHeld && held;
  }
  print({ invariantsHeld });
  say(`\ninvariants held: ${invariantsHeld}`);
  process.exit(invariantsHeld ? 0 : 1);
}

main();
