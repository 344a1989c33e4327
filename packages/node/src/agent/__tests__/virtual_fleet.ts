/**
 * A fleet of agents in virtual time: real agents and key-value feeds, connected
 * by a simulated network to each other and to a simulated store.
 */

import { type Catalog, FLEET_SCOPE } from "@coltsfootdeal/bundle";
import type { Clock, Timer } from "@coltsfootdeal/kernel";
import {
  createRouter,
  createSuspects,
  type ScopeVersion,
} from "@coltsfootdeal/policy";
import { err, ok, type Result } from "neverthrow";
import { CONTROL_TIMEOUT_MS, STORE_TIMEOUT_MS } from "../../constants.ts";
import { type Agent, type AgentConfig, createAgent } from "../agent.ts";
import type { BundleStore, OfferResult } from "../bundle_store.ts";
import type { ControlClient } from "../control_client.ts";
import type { PlatformInstance } from "../feed.ts";
import {
  createKeyValueFeed,
  type StoreChange,
  type StoreError,
  type StorePage,
  type StoreReader,
} from "../key_feed.ts";

/** One way, between nodes and to the store, in ms. */
const LATENCY_MS = 3;
const CONFIGURATION_KEY = "config";
/** An address where nobody answers. */
const SILENT_ADDRESS = "silent";

/** A clock whose timers fire in order while the fleet runs. */
export interface VirtualClock extends Clock {
  /** Runs all timers that are due until `ms` from now. */
  readonly run: (ms: number) => Promise<void>;
}

/** Creates a clock at 0. */
export function createVirtualClock(): VirtualClock {
  const timers = new Map<number, { at: number; readonly run: () => void }>();
  let now = 0;
  let nextId = 0;

  function after(delayMs: number, run: () => void): Timer {
    const id = nextId++;
    timers.set(id, { at: now + Math.max(0, delayMs), run });
    return { close: () => timers.delete(id) };
  }

  function every(periodMs: number, run: () => void): Timer {
    let timer = after(periodMs, fire);

    function fire(): void {
      timer = after(periodMs, fire);
      run();
    }

    return { close: () => timer.close() };
  }

  /** Lets the promises go on that the timers have resolved. */
  function settle(): Promise<void> {
    return new Promise((resolve) => setImmediate(resolve));
  }

  return {
    now: () => now,
    after,
    every,
    run: async (ms) => {
      const endsAt = now + ms;
      await settle();
      for (;;) {
        let at = Infinity;
        for (const timer of timers.values()) at = Math.min(at, timer.at);
        if (at > endsAt) break;
        now = at;
        for (const [id, timer] of [...timers]) {
          if (timer.at > now || !timers.delete(id)) continue;
          timer.run();
        }
        await settle();
      }
      now = endsAt;
    },
  };
}

/** How a lost node appears to others. */
export type Loss =
  /** Its connections are refused. */
  | "refused"
  /** It does not answer. */
  | "silent";

/** A node of a virtual fleet. */
export interface VirtualNode {
  readonly id: string;
  readonly dataCentre: string;
  readonly agent: Agent;
  /** Version of the configuration in force; 0 without one. */
  readonly version: () => number;
  /** Whether this node may send requests to the instance. */
  readonly usesUpstream: (id: string) => boolean;
  /** Calls of this node to the store, with those that did not reach it. */
  readonly storeCalls: () => number;
}

/** A fleet in virtual time. */
export interface VirtualFleet {
  readonly clock: VirtualClock;
  readonly nodes: readonly VirtualNode[];
  /** Nodes that were not lost. */
  readonly left: () => readonly VirtualNode[];
  readonly lose: (nodes: readonly VirtualNode[], how: Loss) => void;
  /** Cuts nodes off from the store; their peers still reach them. */
  readonly cutOffStore: (nodes: readonly VirtualNode[]) => void;
  /** Silences all open connections to the store; new ones work. */
  readonly silenceStore: () => void;
  /** Silences all open connections between nodes; new ones work. */
  readonly silencePeers: () => void;
  /** Leaves the requests of nodes for bundles without an answer. */
  readonly silencePulls: (nodes: readonly VirtualNode[]) => void;
  /** Starts the agent of a machine whose entry is listed, or not. */
  readonly start: (id: string, dataCentre: string) => VirtualNode;
  readonly list: (node: { readonly id: string }) => void;
  /** Lists a process of another application on the machine of a node. */
  readonly listBeside: (node: { readonly id: string }, id: string) => void;
  /** Lists an instance as leaving. */
  readonly drain: (node: { readonly id: string }) => void;
  readonly removeEntry: (node: { readonly id: string }) => void;
  /** Writes a version of the configuration to the store. */
  readonly publish: (version: number) => void;
  /** Calls that reached the store so far. */
  readonly storeCalls: () => number;
  readonly close: () => void;
}

interface StoredItem {
  readonly key: string;
  readonly revision: number;
  readonly change: (revision: number) => StoreChange;
}

function createVirtualStore(clock: Clock) {
  const items = new Map<string, StoredItem>();
  const history: StoredItem[] = [];
  const watchers = new Set<() => void>();
  let revision = 1;
  let calls = 0;
  /** Number of times that the open connections went silent. */
  let silences = 0;

  function put(key: string, change: StoredItem["change"]): void {
    revision++;
    const item = { key, revision, change };
    if (change(revision).kind === "removed") items.delete(key);
    else items.set(key, item);
    history.push(item);
    for (const notify of [...watchers]) notify();
  }

  function answer(changed: Iterable<StoredItem>): StorePage {
    return {
      changes: [...changed].map((item) => item.change(item.revision)),
      position: { era: 1, revision },
      next: undefined,
    };
  }

  /** A reader whose calls arrive and return after the latency. */
  function createReader(
    options: {
      readonly onCall: () => void;
      /** Aborted when the connection to the store is lost for good. */
      readonly connection: AbortSignal;
    },
  ): StoreReader {
    const { connection } = options;

    function call(
      { signal, waitMs }: {
        readonly signal: AbortSignal;
        readonly waitMs: number;
      },
      handle: (reply: (page: StorePage) => void) => void,
    ): Promise<Result<StorePage, StoreError>> {
      options.onCall();
      const silencesBefore = silences;
      return new Promise((resolve) => {
        const timer = clock.after(waitMs + STORE_TIMEOUT_MS, () => {
          finish(err({ kind: "unreachable", reason: "no answer in time" }));
        });

        function finish(result: Result<StorePage, StoreError>): void {
          timer.close();
          signal.removeEventListener("abort", abort);
          connection.removeEventListener("abort", abort);
          resolve(result);
        }

        function abort(): void {
          finish(err({ kind: "unreachable", reason: "aborted" }));
        }

        if (connection.aborted) {
          clock.after(2 * LATENCY_MS, abort);
          return;
        }
        calls++;
        signal.addEventListener("abort", abort);
        connection.addEventListener("abort", abort);
        clock.after(LATENCY_MS, () => {
          handle((page) => {
            clock.after(LATENCY_MS, () => {
              if (silences === silencesBefore) finish(ok(page));
            });
          });
        });
      });
    }

    return {
      list: (_query, signal) =>
        call({ signal, waitMs: 0 }, (reply) => reply(answer(items.values()))),
      watch: ({ after, waitMs }, signal) =>
        call({ signal, waitMs }, (reply) => {
          const pending = () => history.filter((i) => i.revision > after);
          if (pending().length > 0 || waitMs === 0) {
            return reply(answer(pending()));
          }
          const timer = clock.after(waitMs, finish);
          watchers.add(finish);

          function finish(): void {
            timer.close();
            watchers.delete(finish);
            reply(answer(pending()));
          }
        }),
    };
  }

  return {
    put,
    createReader,
    calls: () => calls,
    silence: () => {
      silences++;
    },
  };
}

/** A bundle store that holds the version of one configuration. */
function createVersionStore() {
  let text: string | undefined;
  const scopeVersion = (): ScopeVersion | undefined =>
    text === undefined
      ? undefined
      : { scope: FLEET_SCOPE, version: Number(text), digest: text };
  const store: BundleStore = {
    offer: (offered) => {
      const isNewer = Number(offered) > Number(text ?? 0);
      if (isNewer) text = offered;
      return ok({
        version: scopeVersion()!,
        verdict: { kind: isNewer ? "adopted" : "stale" },
      } as OfferResult);
    },
    catalog: () =>
      text === undefined
        ? undefined
        : { service: () => undefined } as unknown as Catalog,
    versions: () => [scopeVersion() ?? []].flat(),
    inForce: () => scopeVersion(),
    textOf: () => text,
  };
  return store;
}

/** Starts a fleet with `counts` machines in each data centre, all listed. */
export function createVirtualFleet(
  counts: Readonly<Record<string, number>>,
): VirtualFleet {
  const clock = createVirtualClock();
  const store = createVirtualStore(clock);
  const dataCentres = Object.keys(counts);
  const agents = new Map<string, Agent>();
  const losses = new Map<string, Loss>();
  const connections = new Map<string, AbortController>();
  const nodes: VirtualNode[] = [];
  /** Nodes whose requests for bundles are not answered, by address. */
  const withoutPulls = new Set<string>();
  /** Connections between nodes that were used, by both their ends. */
  const peerConnections = new Map<string, "open" | "silent">();
  const hosts = new Map<string, { readonly ip: string; dataCentre: string }>();

  function hostOf(id: string, dataCentre: string) {
    const number = hosts.size + 1;
    const known = hosts.get(id) ??
      { ip: `10.0.${number >> 8}.${number & 255}`, dataCentre };
    hosts.set(id, known);
    return known;
  }

  /** Calls the agent at `address`, as the control client would. */
  function call<Value>(
    [from, address]: readonly [from: string, address: string],
    handle: (agent: Agent) => Value,
  ): ReturnType<ControlClient["push"]> & Promise<Result<Value, never>> {
    const promise = new Promise((resolve) => {
      const unreachable = err({ kind: "unreachable" as const, address });
      const agent = agents.get(address);
      const timer = clock.after(CONTROL_TIMEOUT_MS, () => resolve(unreachable));
      const isLost = () => losses.get(address) ?? losses.get(from);
      const connection = `${from} ${address}`;
      if (peerConnections.get(connection) === "silent") {
        // The timeout closes it, and the next call opens another one.
        peerConnections.delete(connection);
        return;
      }
      peerConnections.set(connection, "open");
      if (address === SILENT_ADDRESS) return;
      if (agent === undefined || isLost() === "refused") {
        clock.after(2 * LATENCY_MS, () => resolve(unreachable));
        return;
      }
      clock.after(LATENCY_MS, () => {
        if (isLost() !== undefined) return;
        const value = handle(agent);
        clock.after(LATENCY_MS, () => {
          if (isLost() !== undefined) return;
          timer.close();
          resolve(ok(value));
        });
      });
    });
    return promise as ReturnType<typeof call<Value>>;
  }

  function createControl(from: string): ControlClient {
    const at = (address: string) => [from, address] as const;
    return {
      identity: (address) =>
        call(at(address), (agent) => agent.controlHandler.identity()),
      push: (address, news) =>
        call(at(address), (agent) => agent.controlHandler.push(news)),
      inform: (address, news) =>
        call(at(address), (agent) => agent.controlHandler.inform(news)),
      compare: (address, comparison) =>
        call(at(address), (agent) => agent.controlHandler.compare(comparison)),
      offer: (address, source) =>
        call(at(address), (agent) => agent.controlHandler.offer(source)),
      differing: (address, buckets) =>
        call(at(address), (agent) => agent.controlHandler.differing(buckets)),
      pull: (address, topics) =>
        call(
          at(withoutPulls.has(from) ? SILENT_ADDRESS : address),
          (agent) => agent.controlHandler.pull(topics),
        ),
    };
  }

  function createEntry(
    id: string,
  ): Omit<PlatformInstance, "revision" | "state"> {
    const { ip, dataCentre } = hosts.get(id)!;
    return {
      id,
      service: "seals",
      dataCentre,
      address: `${ip}:1`,
      control: `${ip}:2`,
    };
  }

  function list(
    { id }: { readonly id: string },
    state: PlatformInstance["state"] = "live",
  ): void {
    store.put(`servers/${id}`, (revision) => ({
      kind: "instance",
      instance: { ...createEntry(id), state, revision },
    }));
  }

  function start(id: string, dataCentre: string): VirtualNode {
    const { ip } = hostOf(id, dataCentre);
    const address = `${ip}:2`;
    const bundles = createVersionStore();
    const others = dataCentres.filter((other) => other !== dataCentre);
    const connection = new AbortController();
    connections.set(id, connection);
    let calls = 0;
    const settings: Partial<AgentConfig["settings"]> = {
      instance: id,
      service: "seals",
      dataCentre,
      dataCentres: [dataCentre, ...others],
      data: { host: ip, port: 1 },
      control: { host: ip, port: 2 },
      seeds: [],
      listedBackend: { host: ip, port: 1 },
    };
    const router = createRouter({
      nodeId: id,
      dataCentres: [dataCentre, ...others],
    });
    const agent = createAgent({
      settings: settings as AgentConfig["settings"],
      incarnation: `1700000000000-${id}`,
      clock,
      audit: { record: () => {} } as unknown as AgentConfig["audit"],
      store: bundles,
      router,
      suspects: createSuspects(),
      createFeed: (sinks) =>
        createKeyValueFeed({
          ...sinks,
          clock,
          reader: store.createReader({
            onCall: () => {
              calls++;
            },
            connection: connection.signal,
          }),
          onEraChange: () => {},
          onForeignEntry: () => {},
        }),
      onOwnInstance: () => {},
      onOwnReport: () => {},
      control: createControl(address),
    });
    agents.set(address, agent);
    losses.delete(address);
    agent.start();
    const node: VirtualNode = {
      id,
      dataCentre,
      agent,
      version: () => bundles.inForce(FLEET_SCOPE)?.version ?? 0,
      usesUpstream: (upstream) =>
        router.snapshot(clock.now()).some((known) =>
          known.upstream.id === upstream && !known.leaving
        ),
      storeCalls: () => calls,
    };
    nodes.push(node);
    return node;
  }

  function addressOf({ id }: { readonly id: string }): string {
    return `${hosts.get(id)!.ip}:2`;
  }

  function publish(version: number): void {
    store.put(CONFIGURATION_KEY, (revision) => ({
      kind: "value",
      value: { key: CONFIGURATION_KEY, revision, value: String(version) },
    }));
  }

  publish(1);
  let number = 0;
  for (const [dataCentre, count] of Object.entries(counts)) {
    for (let index = 0; index < count; index++) {
      const id = `i-${++number}`;
      hostOf(id, dataCentre);
      list({ id });
    }
  }
  for (const [id, { dataCentre }] of [...hosts]) start(id, dataCentre);
  return {
    clock,
    nodes,
    left: () => nodes.filter((node) => !losses.has(addressOf(node))),
    lose: (lost, how) => {
      for (const node of lost) {
        losses.set(addressOf(node), how);
        node.agent.close();
      }
    },
    cutOffStore: (nodes) => {
      for (const { id } of nodes) connections.get(id)?.abort();
    },
    silenceStore: store.silence,
    silencePulls: (nodes) => {
      for (const node of nodes) withoutPulls.add(addressOf(node));
    },
    silencePeers: () => {
      for (const connection of peerConnections.keys()) {
        peerConnections.set(connection, "silent");
      }
    },
    start,
    list: (node) => list(node),
    listBeside: (node, id) =>
      store.put(`servers/${id}`, (revision) => ({
        kind: "instance",
        instance: {
          ...createEntry(node.id),
          id,
          service: "node-metrics",
          backend: `${hosts.get(node.id)!.ip}:9`,
          state: "live",
          revision,
        },
      })),
    drain: (node) => list(node, "leaving"),
    removeEntry: ({ id }) =>
      store.put(`servers/${id}`, (revision) => ({
        kind: "removed",
        id,
        revision,
      })),
    publish,
    storeCalls: store.calls,
    close: () => {
      for (const { agent } of nodes) agent.close();
    },
  };
}
