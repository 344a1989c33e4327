import { type Bundle, createCatalog, FLEET_SCOPE } from "@coltsfootdeal/bundle";
import { createSystemClock } from "@coltsfootdeal/kernel";
import { createRetryLedger } from "@coltsfootdeal/policy";
import { afterEach, expect, test } from "vitest";
import { createRunRegistry } from "../../chains.ts";
import {
  type BackendState,
  createGate,
  type Gate,
  type GateCall,
} from "../gate.ts";

const BUNDLE: Bundle = {
  scope: FLEET_SCOPE,
  version: 1,
  note: "",
  accounts: [],
  services: [{
    name: "seals",
    slots: 4,
    connections: 8,
    cancellation: "close",
    keepsDeadlines: true,
    shedStatus: undefined,
    shedHeader: undefined,
    order: "rank",
    healthPath: undefined,
  }],
  kinds: [{
    service: "seals",
    name: "check",
    rank: 50,
    protected: false,
    idempotent: true,
    deadlineMs: 1_000,
    weight: 1,
    floor: 0,
    retryAllowance: 0,
    bodyMaxBytes: 1_000,
  }],
};

let gate: Gate;
let runs = 0;

function startGate(): void {
  runs = 0;
  gate = createGate({
    instance: "i-1",
    incarnation: "1-x",
    service: "seals",
    clock: createSystemClock(),
    backend: {
      run: () => {
        runs++;
        const body = Buffer.from("ok");
        return Promise.resolve({
          kind: "response",
          status: 200,
          headers: {},
          body,
        });
      },
      isLeaving: () => Promise.resolve(false),
    },
    requiresListedBackend: true,
    retryLedger: createRetryLedger(),
    runRegistry: createRunRegistry(),
    onDecision: () => {},
    onNotice: () => {},
    onDeath: () => {},
    onExclusiveRunSurvived: () => {},
  });
}

afterEach(() => gate.close());

function createCall(id: string): GateCall {
  return {
    id,
    requestId: id,
    kind: "check",
    level: 1,
    weight: 1,
    account: "",
    caller: "front",
    deadlineAt: performance.now() + 1_000,
    retryAllowance: 0,
    exclusive: false,
    remembered: undefined,
    payload: { method: "GET", path: "/", headers: {}, body: Buffer.alloc(0) },
  };
}

function backendState(
  id: string,
  state: BackendState["state"],
): BackendState {
  return { id, state, slots: 4, startedAt: 1_700_000_000_000 };
}

async function submit(id: string, signal = new AbortController().signal) {
  return (await gate.submit(createCall(id), signal)).answer.outcome;
}

test("a backend server that was listed as leaving before the first bundle gets no calls", async () => {
  startGate();
  gate.setBackendState(backendState("i-1", "leaving"));
  gate.configure(createCatalog([BUNDLE]));
  expect(await submit("a")).toMatchObject({ kind: "refused" });
  expect(runs).toBe(0);
  gate.setBackendState(backendState("i-2", "live"));
  expect(await submit("b")).toMatchObject({ kind: "answered" });
  expect(runs).toBe(1);
});

test("a call whose caller has left already is refused as not run", async () => {
  startGate();
  gate.configure(createCatalog([BUNDLE]));
  gate.setBackendState(backendState("i-1", "live"));
  expect(await submit("a", AbortSignal.abort()))
    .toMatchObject({ kind: "refused", reason: "cancelled" });
  expect(runs).toBe(0);
});
