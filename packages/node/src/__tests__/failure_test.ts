import { connect } from "node:net";
import { findFreePorts } from "@coltsfootdeal/standin";
import { afterEach, expect, test } from "vitest";
import { SERVICE } from "../node_types.ts";
import {
  bundleText,
  knows,
  startTestFleet,
  type TestFleet,
  until,
} from "./harness.ts";

let fleet: TestFleet;

afterEach(() => fleet.close());

async function start(count: number, serviceMs = 5): Promise<void> {
  fleet = await startTestFleet();
  fleet.platform.publish("bundles/fleet", fleet.operator.seal(bundleText(1)));
  for (let index = 0; index < count; index++) {
    await fleet.add({ backend: { serviceMs } });
  }
  await until(() => fleet.members.every((m) => knows(m, count)), "ready");
}

function versionOf(index: number): number {
  return fleet.members[index]?.node.status().bundles[0]?.version ?? 0;
}

function gossipOf(event: string): number {
  return fleet.members.filter(({ node }) =>
    node.kernel.find(SERVICE.audit)._unsafeUnwrap().after(0).some((record) =>
      record.event === event
    )
  ).length;
}

function runsOf(body: string): number {
  return fleet.members.reduce(
    (sum, { backend }) => sum + (backend.counts().runsByBody.get(body) ?? 0),
    0,
  );
}

test("a graceful shutdown under load cuts off nothing", async () => {
  await start(3, 30);
  const client = fleet.client("runner-1");
  let stop = false;
  const kinds = ["check", "browse", "sanction"];
  const outcomes: string[] = [];
  async function load(kind: string): Promise<void> {
    for (let index = 0; !stop; index++) {
      const once = kind === "sanction";
      const body = `${kind} ${index}`;
      const call = { service: "seals", kind, body, deadlineMs: 4_000, once };
      outcomes.push((await client.call(call)).kind);
    }
  }
  const loads = kinds.map(load);
  await until(() => outcomes.length > 10, "load");
  await fleet.members[0]?.node.drain();
  const after = outcomes.length;
  await until(() => outcomes.length > after + 10, "load goes on");
  stop = true;
  await Promise.all(loads);
  expect(new Set(outcomes)).toEqual(new Set(["answered"]));
});

test("a backend server that says it is leaving gets no new work", async () => {
  await start(2);
  const leaving = fleet.members[0];
  leaving?.backend.markLeaving();
  await until(
    () => leaving?.node.readiness().ready === false,
    "the node notices",
  );
  const before = leaving?.backend.counts().runs;
  const client = fleet.client("runner-1");
  for (let index = 0; index < 30; index++) {
    const body = `after ${index}`;
    const call = { service: "seals", kind: "check", body, deadlineMs: 4_000 };
    expect((await client.call(call)).kind).toBe("answered");
  }
  expect(leaving?.backend.counts().runs).toBe(before);
});

test("a killed home leaves a resend unknown, never a second run", async () => {
  await start(2, 300);
  const home = fleet.members[0];
  const other = fleet.members[1];
  if (!home || !other) throw new Error("expected two members");
  const client = fleet.client("committee", [home.node.dataAddress]);
  const pending = client.begin({
    service: "seals",
    kind: "sanction",
    body: "sanction",
    deadlineMs: 4_000,
    once: true,
  });
  await until(() => runsOf("sanction") === 1, "the run starts");
  await home.node.kill();
  expect((await pending.outcome).kind).toBe("unknown");
  expect((await pending.resume(1_000)).kind).toBe("unknown");
  expect(runsOf("sanction")).toBe(1);
});

test("a poison call kills at most two backend servers", async () => {
  await start(3);
  const client = fleet.client("runner-1");
  for (let index = 0; index < 6; index++) {
    const call = {
      service: "seals",
      kind: "check",
      body: "poison",
      deadlineMs: 2_000,
    };
    await client.call(call);
  }
  const crashes = fleet.members.reduce(
    (sum, { backend }) => sum + backend.counts().crashes,
    0,
  );
  expect(crashes).toBeLessThanOrEqual(2);
  const fine = await client.call({
    service: "seals",
    kind: "check",
    body: "fine",
    deadlineMs: 4_000,
  });
  expect(fine.kind).toBe("answered");
});

test("a poison call resent through other nodes is known there", async () => {
  await start(4);
  const crashes = () =>
    fleet.members.reduce(
      (sum, { backend }) => sum + backend.counts().crashes,
      0,
    );
  for (const { node } of fleet.members) {
    const client = fleet.client("runner-1", [node.dataAddress]);
    await client.call({
      service: "seals",
      kind: "check",
      body: "poison",
      deadlineMs: 2_000,
    });
    const before = crashes();
    // The deaths travel by gossip before the call is sent again.
    const known = () => gossipOf("backend_died") >= Math.min(1, before);
    await until(known, "the death is recorded");
    await new Promise((resolve) => setTimeout(resolve, 600));
  }
  expect(crashes()).toBeLessThanOrEqual(2);
});

test("a leaving node still answers on idle connections", async () => {
  await start(2);
  const leaving = fleet.members[0];
  const [host = "", port = ""] = leaving?.node.dataAddress.split(":") ?? [];
  const socket = connect(Number(port), host);
  let text = "";
  socket.on("data", (data) => {
    text += data.toString();
  });
  const request = [
    "POST /v1/call/seals/check HTTP/1.1",
    "host: node",
    "coltsfootdeal-account: office",
    "coltsfootdeal-caller: runner-1",
    "coltsfootdeal-deadline-ms: 2000",
    "content-length: 4",
    "",
    "body",
  ].join("\r\n");
  socket.write(request);
  await until(() => text.includes("answered"), "the first answer");
  const drained = leaving?.node.drain();
  await new Promise((resolve) => setTimeout(resolve, 500));
  socket.write(request);
  await until(() => text.includes("leaving"), "a refusal, not a reset");
  expect(text).toContain("coltsfootdeal-outcome: refused");
  await drained;
});

test("a call that its caller gives up is cancelled on the backend server", async () => {
  await start(1, 2_000);
  const client = fleet.client("runner-1");
  const abort = new AbortController();
  const pending = client.call({
    service: "seals",
    kind: "browse",
    body: "long",
    deadlineMs: 4_000,
    signal: abort.signal,
  });
  const backend = fleet.members[0]?.backend;
  await until(() => backend?.counts().runs === 1, "the run starts");
  abort.abort();
  await pending;
  await until(() => backend?.counts().cancels === 1, "the run is cancelled");
});

test("platform down at the start, then back, then stale: never back", async () => {
  fleet = await startTestFleet();
  fleet.platform.setMode({ kind: "down" });
  const [control = 0] = await findFreePorts(1);
  const seeds = [`127.0.0.1:${control}`];
  await fleet.add({ control, seeds });
  await fleet.add({ seeds });
  await fleet.add({ seeds });
  expect(fleet.members.some(({ node }) => node.readiness().ready)).toBe(false);
  fleet.platform.publish("bundles/fleet", fleet.operator.seal(bundleText(3)));
  fleet.platform.setMode({ kind: "up" });
  await until(() => [0, 1, 2].every((i) => versionOf(i) === 3), "version 3");
  // A platform that shows an older value does not undo it.
  fleet.platform.publish("bundles/fleet", fleet.operator.seal(bundleText(2)));
  fleet.platform.publish("bundles/other", fleet.operator.seal(bundleText(4)));
  await until(() => [0, 1, 2].every((i) => versionOf(i) === 4), "version 4");
  // A newcomer learns from its peers while the platform is down.
  await until(() => fleet.members.every((m) => knows(m, 3)), "membership");
  fleet.platform.setMode({ kind: "down" });
  await fleet.add({ seeds });
  await until(() => versionOf(3) === 4, "the newcomer catches up");
});

test("an envelope that nobody trusts is refused, recorded and not spread", async () => {
  await start(2);
  const { createOperator } = await import("./harness.ts");
  const stranger = createOperator();
  fleet.platform.publish("bundles/fleet", stranger.seal(bundleText(9)));
  const refused = async (index: number) => {
    const admin = fleet.members[index]?.node.adminAddress;
    const page = await (await fetch(`http://${admin}/audit`)).text();
    return page.includes("bundle_refused");
  };
  const deadline = performance.now() + 20_000;
  while (!(await refused(0)) && performance.now() < deadline) {
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  expect(await refused(0)).toBe(true);
  fleet.platform.publish("bundles/fleet", fleet.operator.seal(bundleText(2)));
  await until(() => versionOf(0) === 2 && versionOf(1) === 2, "version 2");
});
