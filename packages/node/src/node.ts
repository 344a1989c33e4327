/** A node: a kernel whose services are ingress, gate and agent. */

import { randomBytes } from "node:crypto";
import type { RequestListener } from "node:http";
import { type Catalog, FLEET_SCOPE, levelOf } from "@coltsfootdeal/bundle";
import { createKernel } from "@coltsfootdeal/kernel";
import {
  createLedger,
  createPauseDetector,
  createRetryBudget,
  createRouter,
  createServiceTime,
  createSuspects,
  type Death,
} from "@coltsfootdeal/policy";
import { getRequestListener } from "@hono/node-server";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { err, ok, type Result } from "neverthrow";
import {
  type AdminSource,
  createAdminApi,
  createReadinessApi,
  type Readiness,
} from "./admin/admin_api.ts";
import { createAudit } from "./admin/audit.ts";
import { createMetrics } from "./admin/metrics.ts";
import { createAgent } from "./agent/agent.ts";
import { createBundleStore } from "./agent/bundle_store.ts";
import { createControlRouter } from "./agent/control_api.ts";
import { createControlClient } from "./agent/control_client.ts";
import { createChains } from "./chains.ts";
import { HEALTH_PERIOD_MS, HOUSEKEEPING_MS } from "./constants.ts";
import { createDecisionLog } from "./decision_log.ts";
import { drainUntilIdle } from "./drain.ts";
import {
  createPlainHandler,
  type FinishedRequest,
} from "./edge/plain_listener.ts";
import { createGate } from "./gate/gate.ts";
import { createHttpClient } from "./http_client.ts";
import { createLinkClient } from "./link/link_client.ts";
import { createLinkServer } from "./link/link_server.ts";
import { createDataApi } from "./ingress/data_api.ts";
import { createForwarder } from "./ingress/forwarder.ts";
import { createHomeForwarder } from "./ingress/home.ts";
import { createIngress } from "./ingress/ingress.ts";
import { createTicketService } from "./ingress/ticketed.ts";
import { listen, type Listener, type ListenError } from "./listener.ts";
import {
  type ChangeableSettings,
  type Node,
  type NodeOptions,
  type NodeStatus,
  SERVICE,
} from "./node_types.ts";
import { createOwnPorts } from "./own_ports.ts";
import type { NodePorts } from "./ports.ts";
import { retryShareOf } from "./retry_share.ts";
import {
  type Address,
  formatAddress,
  type NodeSettings,
  type Settings,
} from "./settings.ts";

function createIncarnation(): string {
  // The start time orders incarnations in gossip; the rest makes them unique.
  return `${Date.now()}-${randomBytes(6).toString("hex")}`;
}

/** Starts a node on the own interface. */
export function startNode(
  settings: Settings,
  options: NodeOptions,
): Promise<Result<Node, ListenError>> {
  const ports = createOwnPorts(settings, options.clock);
  return startNodeOn(ports, settings, options);
}

/** Starts a node on a platform that the ports adapt it to. */
export async function startNodeOn(
  ports: NodePorts,
  settings: NodeSettings,
  options: NodeOptions,
): Promise<Result<Node, ListenError>> {
  const { clock, log } = options;
  const { instance } = settings;
  let changeable: ChangeableSettings = settings;
  const listed = settings.backendFrom === "instance_list";
  const incarnation = createIncarnation();
  const kernel = createKernel();
  const audit = createAudit(log, clock);
  const client = createHttpClient();
  const backendClient = createHttpClient();
  const ledger = createLedger();
  const chains = createChains();
  const suspects = createSuspects({ isolate: !listed });
  const slotTimes = createServiceTime();
  const fleetSize = () => Math.max(1, agent.membership.all().length);
  const router = createRouter({
    owner: instance,
    dataCentres: settings.dataCentres,
    ownAddress: formatAddress(settings.data),
  });
  const backend = ports.createBackend(backendClient);
  const decisions = createDecisionLog(log, clock);
  let leaving = false;
  let ending = false;
  let readyRecorded = false;

  const gate = createGate({
    instance,
    incarnation,
    service: settings.service,
    clock,
    backend,
    listed,
    ledger,
    chains,
    onDecision: decisions.record,
    onDeath: (death) => recordDeath(death),
    onHarmless: (digest) => suspects.clear(digest, clock.now()),
  });
  const store = createBundleStore({
    validate: ports.openBundle,
    audit,
    onAdopted: (catalog: Catalog) => {
      gate.configure(catalog);
      applyCallerLimits(catalog);
      if (readyRecorded || !readiness().ready) return;
      readyRecorded = true;
      audit.record("ready");
    },
  });
  const agent = createAgent({
    settings,
    incarnation,
    clock,
    audit,
    store,
    router,
    suspects,
    createFeed: (sinks) => ports.createFeed(sinks, client),
    onOwnInstance: (own) =>
      gate.setBackend({ id: own.id, state: own.state, slots: own.slots }),
    control: createControlClient(client),
  });
  const links = createLinkClient(clock);
  const linkServer = createLinkServer({
    service: settings.service,
    instance: agent.listedId,
    incarnation,
    clock,
    log,
    gate,
    onVersion: agent.receiveBundleAnnouncement,
  });
  const forward = createForwarder({
    clock,
    links,
    ownAddress: formatAddress(settings.data),
    service: settings.service,
    gate,
    bundleAnnouncement: agent.bundleAnnouncement,
    onInstanceSeen: (seen) =>
      agent.recordInstanceFact({
        id: seen.instance,
        incarnation: seen.incarnation,
        leaving: seen.leaving,
      }),
  });
  const ingress = createIngress({
    clock,
    router,
    retryLedger: ledger,
    runRegistry: chains,
    suspects,
    nestedCallsCarryParentId: ports.callers === undefined,
    serviceBudget: createRetryBudget(
      retryShareOf(() => changeable.retries, fleetSize),
    ),
    levelOf: (kind, weight) => {
      const catalog = store.catalog();
      const slotMs = slotTimes.ofKind(`${kind.service}/${kind.name}`);
      return catalog ? levelOf(kind, { catalog, slotMs, weight }) : 0;
    },
    onSlotTime: (kind, slotMs) =>
      slotTimes.observe(`${kind.service}/${kind.name}`, slotMs),
    sendAttempt: forward,
    onDeath: (death) => suspects.record(death),
    logEvent: decisions.record,
  });
  const ticketed = createTicketService({
    instance,
    incarnation,
    clock,
    ingress,
    leaving: () => leaving,
    forwardToHome: createHomeForwarder({
      client,
      addressOf: (id) => agent.membership.find(id)?.address,
    }),
  });
  const metrics = createMetrics({
    gateLoad: gate.load,
    bundleVersion: () => store.inForce(FLEET_SCOPE)?.version ?? 0,
    tickets: ticketed.size,
    instances: () => agent.status().instances,
    reader: () => agent.status().reader,
  });

  function recordFinished(finished: FinishedRequest): void {
    metrics.observeCall(finished);
    const { outcome, service, kind, requestId } = finished;
    if (outcome.kind === "answered") return;
    decisions.record("request.finished", {
      requestId,
      service,
      kind,
      outcome: outcome.kind,
      reason: "reason" in outcome ? outcome.reason : "",
      elapsedMs: Math.round(finished.elapsedMs),
      deadlineMs: Math.round(finished.deadlineMs),
      bundleVersion: finished.version,
    });
  }

  function recordDeath(death: Death): void {
    const calls = death.digests.length;
    audit.record("backend_died", { death: death.id, calls });
    metrics.countBackendDeath();
    agent.announceDeath(death);
  }

  function readiness(): Readiness {
    if (leaving) return { ready: false, reason: "leaving" };
    const catalog = store.catalog();
    if (catalog === undefined) {
      return { ready: false, reason: "no bundle in force" };
    }
    if (catalog.service(settings.service) === undefined) {
      const reason = `service ${settings.service} is not in the bundle`;
      return { ready: false, reason };
    }
    return { ready: true };
  }

  function status(): NodeStatus {
    return {
      instance,
      service: settings.service,
      dataCentre: settings.dataCentre,
      incarnation,
      readiness: readiness(),
      leaving,
      bundles: store.versions(),
      gate: gate.load(),
      ingress: { inFlight: ingress.inFlight() },
      tickets: ticketed.size(),
      agent: agent.status(),
      upstreams: router.snapshot(clock.now()).map((entry) => ({
        ...entry.upstream,
        outstanding: entry.outstanding,
        leaving: entry.leaving,
        ejected: entry.ejected,
      })),
    };
  }

  const dataApi = createDataApi({
    instance: agent.listedId,
    incarnation,
    service: settings.service,
    clock,
    catalog: store.catalog,
    ingress,
    ticketService: ticketed,
    leaving: () => leaving,
    requestBundle: agent.requestBundle,
    onFinished: metrics.observeCall,
  });
  const adminSource: AdminSource = { audit, metrics, readiness, status };
  const adminApi = createAdminApi(adminSource);
  const controlRouter = createControlRouter(agent.controlHandler);

  const listeners: Listener[] = [];
  const handlers: (readonly [RequestListener, Address])[] = [
    [getRequestListener(dataApi.fetch), settings.data],
    [getRequestListener(adminApi.fetch), settings.admin],
    [createHTTPHandler({ router: controlRouter }), settings.control],
  ];
  if (ports.readiness !== undefined) {
    const { path, address } = ports.readiness;
    const app = createReadinessApi(path, readiness);
    handlers.push([getRequestListener(app.fetch), address]);
  }
  if (ports.callers !== undefined) {
    const { protocol, address } = ports.callers;
    const handler = createPlainHandler({
      service: settings.service,
      clock,
      random: Math.random,
      protocol,
      catalog: store.catalog,
      version: () => store.inForce(FLEET_SCOPE)?.version ?? 0,
      ingress,
      leaving: () => leaving,
      ending: () => ending,
      onFinished: recordFinished,
      onFault: (requestId, { status, message }) =>
        decisions.record("request.invalid", { requestId, status, message }),
    });
    handlers.push([handler, address]);
  }
  for (const [handler, address] of handlers) {
    const listener = await listen(handler, address);
    if (listener.isErr()) {
      for (const { destroy } of listeners) destroy();
      return err(listener.error);
    }
    listeners.push(listener.value);
  }
  const [data, admin, control] = listeners as [Listener, Listener, Listener];
  linkServer.attach(data.server);
  const plain = ports.callers === undefined ? undefined : listeners.at(-1);
  const catalogAtStart = store.catalog();
  if (catalogAtStart !== undefined) applyCallerLimits(catalogAtStart);

  function applyCallerLimits(catalog: Catalog): void {
    const limits = catalog.callerLimits();
    if (limits !== undefined) plain?.limit(limits);
  }

  const pauses = createPauseDetector(HOUSEKEEPING_MS);
  const housekeeping = clock.every(HOUSEKEEPING_MS, () => {
    const pausedMs = pauses.tick(clock.now());
    if (pausedMs > 0) {
      router.forgetLoads();
      audit.record("paused", { pausedMs: Math.round(pausedMs) });
    }
    ticketed.expire();
  });
  // Where the instance list names the backend server, it also tells of its end.
  const health = listed
    ? { close: () => {} }
    : clock.every(HEALTH_PERIOD_MS, checkBackend);

  async function checkBackend(): Promise<void> {
    const contract = store.catalog()?.service(settings.service);
    if (leaving || contract === undefined) return;
    if (!await backend.isLeaving(contract) || leaving) return;
    audit.record("backend_leaving");
    await beginLeaving();
  }

  async function killNow(): Promise<void> {
    for (const listener of listeners) listener.destroy();
    await kernel.close();
    await backendClient.close();
  }

  async function beginLeaving(): Promise<void> {
    leaving = true;
    gate.leave();
    await agent.announceLeaving();
  }

  function stopTimers(): void {
    housekeeping.close();
    health.close();
    decisions.close();
  }

  kernel.provide(SERVICE.audit, audit);
  kernel.provide(SERVICE.httpClient, client);
  kernel.provide(SERVICE.links, {
    close: () => {
      links.close();
      linkServer.close();
    },
  });
  kernel.provide(SERVICE.metrics, metrics);
  kernel.provide(SERVICE.agent, agent);
  kernel.provide(SERVICE.gate, gate);
  kernel.provide(SERVICE.ingress, { ...ingress, close: stopTimers });

  agent.start();
  audit.record("started", {
    service: settings.service,
    dataCentre: settings.dataCentre,
    data: formatAddress(data.address),
  });

  return ok({
    kernel,
    incarnation,
    dataAddress: formatAddress(data.address),
    adminAddress: formatAddress(admin.address),
    controlAddress: formatAddress(control.address),
    readiness,
    status,
    reconfigure: (next) => {
      changeable = next;
    },
    knownInstances: () => agent.status().instances,
    drain: async () => {
      audit.record("draining");
      // Peers that do not answer must not use up the grace period.
      const announced = beginLeaving();
      await drainUntilIdle({
        clock,
        graceMs: changeable.graceMs,
        quietMs: options.drainQuietMs,
        isBusy: () => !gate.idle() || ingress.inFlight() > 0,
        onEnding: () => {
          ending = true;
        },
      });
      if (settings.graceMs === undefined) await announced;
      const inFlight = ingress.inFlight();
      audit.record("drained", { inFlight });
      if (settings.graceMs !== undefined) return await killNow();
      await data.close();
      await kernel.close();
      await backendClient.close();
      await Promise.all([admin.close(), control.close()]);
    },
    kill: killNow,
  });
}
