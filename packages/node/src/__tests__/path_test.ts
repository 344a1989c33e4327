import { connect } from "node:net";
import { afterAll, beforeAll, expect, test } from "vitest";
import {
  bundleText,
  isReadyWithUpstreams,
  startTestFleet,
  type TestFleet,
  waitUntil,
} from "./harness.ts";

let fleet: TestFleet;

beforeAll(async () => {
  fleet = await startTestFleet();
  fleet.platform.publish("bundles/fleet", fleet.operator.sign(bundleText(1)));
  await fleet.add();
  await fleet.add();
  await waitUntil(
    () => fleet.members.every((m) => isReadyWithUpstreams(m, 2)),
    "ready",
  );
});

afterAll(() => fleet.close());

function origin(index = 0): string {
  return `http://${fleet.members[index]?.node.dataAddress}`;
}

const HEADERS = {
  "coltsfootdeal-account": "office",
  "coltsfootdeal-caller": "runner-1",
  "coltsfootdeal-deadline-ms": "3000",
};

async function post(
  path: string,
  init: { readonly headers?: Record<string, string>; body?: string } = {},
) {
  const response = await fetch(`${origin()}${path}`, {
    method: "POST",
    headers: { ...HEADERS, ...init.headers },
    body: init.body ?? "",
  });
  return {
    status: response.status,
    outcome: response.headers.get("coltsfootdeal-outcome"),
    reason: response.headers.get("coltsfootdeal-reason"),
    text: await response.text(),
  };
}

function countRuns(body: string): number {
  return fleet.members.reduce(
    (sum, { backend }) => sum + (backend.counts().runsByBody.get(body) ?? 0),
    0,
  );
}

test("a call returns the complete answer of the backend server", async () => {
  const client = fleet.client("runner-1");
  const body = "x".repeat(500);
  const calls = Array.from({ length: 40 }, (_, index) =>
    client.call({
      service: "seals",
      kind: "check",
      body: `${body}${index}`,
      deadlineMs: 4_000,
    }));
  for (const [index, outcome] of (await Promise.all(calls)).entries()) {
    if (outcome.kind !== "answered") throw new Error(JSON.stringify(outcome));
    const answer = JSON.parse(outcome.body.toString("utf8"));
    expect(answer.echo).toBe(`${body}${index}`);
  }
});

test("callers that use the same request id each get their own answer", async () => {
  const call = (caller: string) =>
    post("/v1/call/seals/check", {
      headers: {
        "coltsfootdeal-caller": caller,
        "coltsfootdeal-request": "same",
      },
      body: `own ${caller}`,
    });
  const callers = ["runner-1", "runner-2", "runner-3"];
  const answers = await Promise.all(callers.map(call));
  for (const [index, answer] of answers.entries()) {
    expect(JSON.parse(answer.text).echo).toBe(`own ${callers[index]}`);
  }
});

test("a call with a ticket runs once and a resend gets the same answer", async () => {
  const client = fleet.client("committee-1");
  const pending = client.begin({
    service: "seals",
    kind: "sanction",
    body: "sanction-1",
    deadlineMs: 4_000,
    once: true,
  });
  const first = await pending.outcome;
  const again = await pending.resume(4_000);
  expect(first.kind).toBe("answered");
  expect(again).toEqual(first);
  expect(countRuns("sanction-1")).toBe(1);
});

test("a resend through another node is forwarded to the ticket's home", async () => {
  const issued = await post("/v1/tickets?count=1");
  const [ticket = ""] = JSON.parse(issued.text).tickets;
  const send = (index: number) =>
    fetch(`${origin(index)}/v1/call/seals/sanction`, {
      method: "POST",
      headers: { ...HEADERS, "coltsfootdeal-ticket": ticket },
      body: "sanction-2",
    });
  const answers = await Promise.all([send(1), send(0), send(1)]);
  for (const answer of answers) {
    expect(answer.headers.get("coltsfootdeal-outcome")).toBe("answered");
    expect(JSON.parse(await answer.text()).echo).toBe("sanction-2");
  }
  expect(countRuns("sanction-2")).toBe(1);
});

test("an invalid request is refused with a message that names the fault", async () => {
  const cases = [
    [await post("/v1/call/seals/nothing"), 404, "seals/nothing"],
    [await post("/v1/call/nowhere/check"), 404, "nowhere/check"],
    [
      await post("/v1/call/seals/check", {
        headers: { "coltsfootdeal-deadline-ms": "soon" },
      }),
      400,
      "coltsfootdeal-deadline-ms",
    ],
    [
      await post("/v1/call/seals/check", {
        headers: { "coltsfootdeal-account": "stranger" },
      }),
      401,
      "coltsfootdeal-account",
    ],
    [await post("/v1/call/seals/sanction"), 400, "coltsfootdeal-ticket"],
    [
      await post("/v1/call/seals/browse", { body: "x".repeat(1_001) }),
      413,
      "1000 bytes",
    ],
  ] as const;
  for (const [answer, status, text] of cases) {
    expect(answer.status).toBe(status);
    expect(answer.outcome).toBe("refused");
    expect(answer.reason).toBe("invalid");
    expect(answer.text).toContain(text);
  }
});

test("a request without a deadline is refused", async () => {
  const response = await fetch(`${origin()}/v1/call/seals/check`, {
    method: "POST",
    headers: {
      "coltsfootdeal-account": "office",
      "coltsfootdeal-caller": "runner-1",
    },
  });
  expect(response.status).toBe(400);
  expect(await response.text()).toContain("coltsfootdeal-deadline-ms");
});

test("a forged or stolen ticket runs nothing and its outcome is unknown", async () => {
  const issued = await post("/v1/tickets?count=1");
  const [ticket = ""] = JSON.parse(issued.text).tickets as string[];
  const forged = `${ticket.slice(0, -2)}${ticket.endsWith("AA") ? "BB" : "AA"}`;
  for (const text of [forged, "nonsense"]) {
    const answer = await post("/v1/call/seals/sanction", {
      headers: { "coltsfootdeal-ticket": text },
      body: "forged",
    });
    expect(answer).toMatchObject({
      status: 400,
      outcome: "unknown",
      reason: "ticket_invalid",
    });
  }
  const stolen = await post("/v1/call/seals/sanction", {
    headers: {
      "coltsfootdeal-ticket": ticket,
      "coltsfootdeal-caller": "another",
    },
    body: "forged",
  });
  expect(stolen.reason).toBe("ticket_invalid");
  expect(countRuns("forged")).toBe(0);
});

test("a ticket presented with another body is a conflict and does not run", async () => {
  const issued = await post("/v1/tickets?count=1");
  const [ticket = ""] = JSON.parse(issued.text).tickets as string[];
  const headers = { "coltsfootdeal-ticket": ticket };
  const path = "/v1/call/seals/sanction";
  const first = await post(path, { headers, body: "body-a" });
  const second = await post(path, { headers, body: "body-b" });
  expect(first.outcome).toBe("answered");
  expect(second).toMatchObject({ status: 409, reason: "ticket_conflict" });
  expect([countRuns("body-a"), countRuns("body-b")]).toEqual([1, 0]);
});

test("an answer that is cut off has the outcome unknown", async () => {
  const client = fleet.client("runner-1");
  const outcome = await client.call({
    service: "seals",
    kind: "browse",
    body: "cut-off",
    deadlineMs: 2_000,
  });
  expect(outcome.kind).toBe("unknown");
});

test("a failing call is retried up to its retry allowance", async () => {
  const client = fleet.client("runner-1");
  const outcome = await client.call({
    service: "seals",
    kind: "check",
    body: "failing-1",
    deadlineMs: 4_000,
  });
  expect(outcome.kind).toBe("failed");
  expect(countRuns("failing-1")).toBe(3);
});

test("slow request headers time out and do not delay other calls", async () => {
  const [host = "", port = "0"] = origin().slice(7).split(":");
  const socket = connect(Number(port), host);
  const closed = new Promise<string>((resolve) => {
    let text = "";
    socket.on("data", (data) => {
      text += data.toString();
    });
    socket.on("close", () => resolve(text));
    socket.on("error", () => {});
  });
  socket.write("POST /v1/call/seals/check HTTP/1.1\r\nhost: x\r\n");
  const client = fleet.client("runner-2");
  const outcome = await client.call({
    service: "seals",
    kind: "check",
    body: "beside",
    deadlineMs: 2_000,
  });
  expect(outcome.kind).toBe("answered");
  expect(await closed).toContain("408");
});

test("the admin pages are read-only and show the bundle in force", async () => {
  const admin = `http://${fleet.members[0]?.node.adminAddress}`;
  const get = async (path: string) => await fetch(`${admin}${path}`);
  expect((await get("/healthz")).status).toBe(200);
  expect((await get("/readyz")).status).toBe(200);
  expect(await (await get("/metrics")).text()).toContain(
    "coltsfootdeal_bundle_version 1",
  );
  const audit = await (await get("/audit")).json() as {
    readonly records: readonly { readonly event: string }[];
  };
  expect(audit.records.map(({ event }) => event)).toContain("bundle_in_force");
  const status = await (await get("/status")).json();
  expect(status).toMatchObject({ bundles: [{ scope: "fleet", version: 1 }] });
  const write = await fetch(`${admin}/status`, { method: "POST" });
  expect(write.status).toBe(405);
});
