import { connect } from "node:net";
import { findFreePorts } from "@coltsfootdeal/standin";
import { afterEach, expect, test } from "vitest";
import { KERNEL_SERVICES } from "../node_types.ts";
import {
  bundleText,
  isReadyWithUpstreams,
  startTestFleet,
  type TestFleet,
  waitUntil,
} from "./harness.ts";

let fleet: TestFleet;

afterEach(() => fleet.close());

async function startFleet(count: number, serviceMs = 5): Promise<void> {
  fleet = await startTestFleet();
  fleet.platform.publish("bundles/fleet", fleet.operator.sign(bundleText(1)));
  for (let index = 0; index < count; index++) {
    await fleet.add({ backend: { serviceMs } });
  }
  await waitUntil(
    () => fleet.members.every((m) => isReadyWithUpstreams(m, count)),
    "ready",
  );
}

/** Version of the first bundle in force on a member; 0 for none. */
function versionOf(index: number): number {
  return fleet.members[index]?.node.status().bundles[0]?.version ?? 0;
}

/** Number of members whose audit trail holds an event. */
function countMembersWithEvent(event: string): number {
  return fleet.members.filter(({ node }) =>
    node.kernel.find(KERNEL_SERVICES.audit)._unsafeUnwrap().after(0).some((
      record,
    ) => record.event === event)
  ).length;
}

function countRuns(body: string): number {
  return fleet.members.reduce(
    (sum, { backend }) => sum + (backend.counts().runsByBody.get(body) ?? 0),
    0,
  );
}

test("all calls are answered during a graceful shutdown under load", async () => {
  await startFleet(3, 30);
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
  await waitUntil(() => outcomes.length > 10, "calls before drain");
  await fleet.members[0]?.node.drain();
  const countAtDrain = outcomes.length;
  await waitUntil(
    () => outcomes.length > countAtDrain + 10,
    "calls after drain",
  );
  stop = true;
  await Promise.all(loads);
  expect(new Set(outcomes)).toEqual(new Set(["answered"]));
});

test("a leaving backend server gets no new calls", async () => {
  await startFleet(2);
  const leaving = fleet.members[0];
  leaving?.backend.markLeaving();
  await waitUntil(
    () => leaving?.node.readiness().ready === false,
    "the node is not ready",
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

test("a resend after its ticket's home was killed is unknown and does not run", async () => {
  await startFleet(2, 300);
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
  await waitUntil(() => countRuns("sanction") === 1, "the run starts");
  await home.node.kill();
  expect((await pending.outcome).kind).toBe("unknown");
  expect((await pending.resume(1_000)).kind).toBe("unknown");
  expect(countRuns("sanction")).toBe(1);
});

test("a call that crashes backend servers reaches at most two of them", async () => {
  await startFleet(3);
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
  const harmless = await client.call({
    service: "seals",
    kind: "check",
    body: "fine",
    deadlineMs: 4_000,
  });
  expect(harmless.kind).toBe("answered");
});

test("a crashing call sent through other nodes is stopped there as well", async () => {
  await startFleet(4);
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
    // Gossip needs time to spread the deaths before the call is sent again.
    const isRecorded = () =>
      countMembersWithEvent("backend_died") >= Math.min(1, before);
    await waitUntil(isRecorded, "the death is recorded");
    await new Promise((resolve) => setTimeout(resolve, 600));
  }
  expect(crashes()).toBeLessThanOrEqual(2);
});

test("a leaving node refuses requests on idle connections, without a reset", async () => {
  await startFleet(2);
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
  await waitUntil(() => text.includes("answered"), "the first answer");
  const drained = leaving?.node.drain();
  await new Promise((resolve) => setTimeout(resolve, 500));
  socket.write(request);
  await waitUntil(() => text.includes("leaving"), "the refusal");
  expect(text).toContain("coltsfootdeal-outcome: refused");
  await drained;
});

test("a call that its caller aborts is cancelled on the backend server", async () => {
  await startFleet(1, 2_000);
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
  await waitUntil(() => backend?.counts().runs === 1, "the run starts");
  abort.abort();
  await pending;
  await waitUntil(
    () => backend?.counts().cancels === 1,
    "the run is cancelled",
  );
});

test("bundle versions never go back, with the platform down or stale", async () => {
  fleet = await startTestFleet();
  fleet.platform.setMode({ kind: "down" });
  const [control = 0] = await findFreePorts(1);
  const seeds = [`127.0.0.1:${control}`];
  await fleet.add({ control, seeds });
  await fleet.add({ seeds });
  await fleet.add({ seeds });
  expect(fleet.members.some(({ node }) => node.readiness().ready)).toBe(false);
  fleet.platform.publish("bundles/fleet", fleet.operator.sign(bundleText(3)));
  fleet.platform.setMode({ kind: "up" });
  await waitUntil(
    () => [0, 1, 2].every((i) => versionOf(i) === 3),
    "version 3",
  );
  // An older value on the platform does not replace the bundle in force.
  fleet.platform.publish("bundles/fleet", fleet.operator.sign(bundleText(2)));
  fleet.platform.publish("bundles/other", fleet.operator.sign(bundleText(4)));
  await waitUntil(
    () => [0, 1, 2].every((i) => versionOf(i) === 4),
    "version 4",
  );
  // A new member gets the bundle from its peers while the platform is down.
  await waitUntil(
    () => fleet.members.every((m) => isReadyWithUpstreams(m, 3)),
    "membership",
  );
  fleet.platform.setMode({ kind: "down" });
  await fleet.add({ seeds });
  await waitUntil(() => versionOf(3) === 4, "version 4 on the new member");
});

test("an envelope with an untrusted signature is refused and recorded", async () => {
  await startFleet(2);
  const { createOperator } = await import("./harness.ts");
  const untrusted = createOperator();
  fleet.platform.publish("bundles/fleet", untrusted.sign(bundleText(9)));
  const isRefused = async (index: number) => {
    const admin = fleet.members[index]?.node.adminAddress;
    const page = await (await fetch(`http://${admin}/audit`)).text();
    return page.includes("bundle_refused");
  };
  const deadline = performance.now() + 20_000;
  while (!(await isRefused(0)) && performance.now() < deadline) {
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  expect(await isRefused(0)).toBe(true);
  fleet.platform.publish("bundles/fleet", fleet.operator.sign(bundleText(2)));
  await waitUntil(() => versionOf(0) === 2 && versionOf(1) === 2, "version 2");
});
