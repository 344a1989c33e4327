/**
 * Assembles a node: the ingress accepts calls and routes them, the gate admits
 * calls to the backend server beside the node, and the agent exchanges state
 * with the platform and other nodes.
 */

import { randomBytes } from "node:crypto";
import type { RequestListener } from "node:http";
import {
  type Catalog,
  FLEET_SCOPE,
  resolveKindLevel,
} from "@coltsfootdeal/bundle";
import { createKernel } from "@coltsfootdeal/kernel";
import {
  createPauseDetector,
  createRetryBudget,
  createRetryLedger,
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
import { createRunRegistry } from "./chains.ts";
import {
  DRAIN_ANSWER_MARGIN_MS,
  DRAIN_FLUSH_MS,
  DRAIN_MAX_SHARE,
  HEALTH_CHECK_PERIOD_MS,
  HOUSEKEEPING_PERIOD_MS,
} from "./constants.ts";
import { createDecisionLog } from "./decision_log.ts";
import { drainUntilIdle } from "./drain.ts";
import {
  createCallerHandler,
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
  KERNEL_SERVICES,
  type Node,
  type NodeOptions,
  type NodeStatus,
  type ReloadableSettings,
} from "./node_types.ts";
import { createNativeAdapter } from "./own_ports.ts";
import type { PlatformAdapter } from "./ports.ts";
import { resolveRetryBudget } from "./retry_share.ts";
import {
  type Address,
  formatAddress,
  type NodeSettings,
  type Settings,
} from "./settings.ts";

function createIncarnation(): string {
  // The start time orders incarnations in gossip; the random part makes them
  // unique.
  return `${Date.now()}-${randomBytes(6).toString("hex")}`;
}

/** Starts a node that speaks the native protocol. */
export function startNode(
  settings: Settings,
  options: NodeOptions,
): Promise<Result<Node, ListenError>> {
  const adapter = createNativeAdapter(settings, options);
  return startNodeWithAdapter(adapter, settings, options);
}

/** Starts a node on the platform of an adapter. */
export async function startNodeWithAdapter(
  adapter: PlatformAdapter,
  settings: NodeSettings,
  options: NodeOptions,
): Promise<Result<Node, ListenError>> {
  const { clock, log } = options;
  const { instance } = settings;
  let reloadable: ReloadableSettings = settings;
  const requiresListedBackend = settings.listedBackend !== undefined;
  const incarnation = createIncarnation();
  const kernel = createKernel();
  const audit = createAudit(log, clock);
  const httpClient = createHttpClient();
  const backendClient = createHttpClient();
  const retryLedger = createRetryLedger();
  const runRegistry = createRunRegistry();
  const suspects = createSuspects({ isolate: !requiresListedBackend });
  const slotTimes = createServiceTime();
  const fleetSize = () => Math.max(1, agent.membership.nodeCount());
  const router = createRouter({
    nodeId: instance,
    dataCentres: settings.dataCentres,
    ownAddress: formatAddress(settings.data),
  });
  const backend = adapter.createBackend(backendClient);
  const decisionLog = createDecisionLog(log, clock);
  let leaving = false;
  let refusesNewCalls = false;
  let latestDeadlineAt: number | undefined;
  let isReadyRecorded = false;

  const gate = createGate({
    instance,
    incarnation,
    service: settings.service,
    clock,
    backend,
    requiresListedBackend,
    retryLedger,
    runRegistry,
    onDecision: decisionLog.record,
    onNotice: (report) => agent.recordBackendReport(report),
    onDeath: (death) => recordDeath(death),
    onExclusiveRunSurvived: (digest) => suspects.clear(digest, clock.now()),
  });
  const store = createBundleStore({
    validate: adapter.openBundle,
    audit,
    onAdopted: (catalog: Catalog) => {
      gate.configure(catalog);
      applyCallerLimits(catalog);
      if (isReadyRecorded || !readiness().ready) return;
      isReadyRecorded = true;
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
    createFeed: (sinks) => adapter.createFeed(sinks, httpClient),
    onOwnInstance: (own) =>
      gate.setBackendState({
        id: own.id,
        state: own.state,
        slots: own.slots,
        startedAt: own.startedAt,
      }),
    onOwnReport: gate.recall,
    control: createControlClient(httpClient),
  });
  const links = createLinkClient(clock);
  const linkServer = createLinkServer({
    service: settings.service,
    instance: agent.listedId,
    incarnation,
    clock,
    log,
    gate,
    onBundleAnnouncement: agent.receiveBundleAnnouncement,
  });
  const forward = createForwarder({
    clock,
    links,
    ownAddress: formatAddress(settings.data),
    service: settings.service,
    gate,
    bundleAnnouncement: agent.bundleAnnouncement,
    rememberedOf: agent.rememberedOf,
    onBackendReport: agent.recordBackendReport,
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
    retryLedger,
    runRegistry,
    suspects,
    nestedCallsCarryParentId: adapter.callers === undefined,
    serviceBudget: createRetryBudget(
      resolveRetryBudget(() => reloadable.retries, fleetSize),
    ),
    levelOf: (kind, weight) => {
      const catalog = store.catalog();
      const slotMs = slotTimes.averageOfKind(`${kind.service}/${kind.name}`);
      return catalog ? resolveKindLevel(kind, { catalog, slotMs, weight }) : 0;
    },
    onSlotTime: (kind, slotMs) =>
      slotTimes.observe(`${kind.service}/${kind.name}`, slotMs),
    sendAttempt: forward,
    onDeath: (death) => suspects.record(death),
    logEvent: decisionLog.record,
  });
  const ticketed = createTicketService({
    instance,
    incarnation,
    clock,
    ingress,
    leaving: () => leaving,
    forwardToHome: createHomeForwarder({
      client: httpClient,
      addressOf: (id) => agent.membership.find(id)?.address,
    }),
  });
  const metrics = createMetrics({
    gateLoad: gate.load,
    backendRate: () => gate.report()?.requestsPerS ?? 0,
    bundleVersion: () => store.inForce(FLEET_SCOPE)?.version ?? 0,
    tickets: ticketed.size,
    instances: () => agent.status().instances,
    reader: () => agent.status().reader,
    knowledgeAgeMs: () => agent.status().knowledgeAgeMs,
    platformAnswerAgeMs: () => agent.status().platformAnswerAgeMs,
  });

  /** Counts a finished call; logs it unless it was answered. */
  function recordFinished(finished: FinishedRequest): void {
    metrics.observeCall(finished);
    const { outcome, service, kind, requestId } = finished;
    if (outcome.kind === "answered") return;
    decisionLog.record("request.finished", {
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
  if (adapter.readiness !== undefined) {
    const { path, address } = adapter.readiness;
    const app = createReadinessApi(path, readiness);
    handlers.push([getRequestListener(app.fetch), address]);
  }
  if (adapter.callers !== undefined) {
    const { protocol, address } = adapter.callers;
    const handler = createCallerHandler({
      service: settings.service,
      clock,
      random: Math.random,
      protocol,
      catalog: store.catalog,
      version: () => store.inForce(FLEET_SCOPE)?.version ?? 0,
      ingress,
      leaving: () => leaving,
      refusesNewCalls: () => refusesNewCalls,
      latestDeadlineAt: () => latestDeadlineAt,
      onFinished: recordFinished,
      onFault: (requestId, { status, message }) =>
        decisionLog.record("request.invalid", { requestId, status, message }),
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
  // The listener for callers, if there is one, is started last.
  const callerListener = adapter.callers === undefined
    ? undefined
    : listeners.at(-1);
  const initialCatalog = store.catalog();
  if (initialCatalog !== undefined) applyCallerLimits(initialCatalog);

  function applyCallerLimits(catalog: Catalog): void {
    const limits = catalog.callerLimits();
    if (limits !== undefined) callerListener?.setLimits(limits);
  }

  const pauseDetector = createPauseDetector(HOUSEKEEPING_PERIOD_MS);
  const housekeeping = clock.every(HOUSEKEEPING_PERIOD_MS, () => {
    const pausedMs = pauseDetector.tick(clock.now());
    if (pausedMs > 0) {
      router.forgetLoads();
      audit.record("paused", { pausedMs: Math.round(pausedMs) });
    }
    ticketed.expire();
  });
  // An instance list that names the backend server also reports when the server
  // leaves, so no health checks are needed.
  const healthCheck = requiresListedBackend
    ? { close: () => {} }
    : clock.every(HEALTH_CHECK_PERIOD_MS, checkBackendHealth);

  async function checkBackendHealth(): Promise<void> {
    const service = store.catalog()?.service(settings.service);
    if (leaving || service === undefined) return;
    if (!await backend.isLeaving(service) || leaving) return;
    audit.record("backend_leaving");
    await startLeaving();
  }

  /** Answers the calls in flight, whose connections are about to close. */
  async function giveUpCalls(): Promise<void> {
    ingress.abortAll();
    await new Promise<void>((resolve) => clock.after(DRAIN_FLUSH_MS, resolve));
  }

  async function closeAtOnce(): Promise<void> {
    for (const listener of listeners) listener.destroy();
    await kernel.close();
    await backendClient.close();
  }

  async function startLeaving(): Promise<void> {
    leaving = true;
    gate.leave();
    await agent.announceLeaving();
  }

  function stopTimers(): void {
    housekeeping.close();
    healthCheck.close();
    decisionLog.close();
  }

  kernel.register(KERNEL_SERVICES.audit, audit);
  kernel.register(KERNEL_SERVICES.httpClient, httpClient);
  kernel.register(KERNEL_SERVICES.links, {
    close: () => {
      links.close();
      linkServer.close();
    },
  });
  kernel.register(KERNEL_SERVICES.metrics, metrics);
  kernel.register(KERNEL_SERVICES.agent, agent);
  kernel.register(KERNEL_SERVICES.gate, gate);
  kernel.register(KERNEL_SERVICES.ingress, { ...ingress, close: stopTimers });

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
      reloadable = next;
    },
    knownInstanceCount: () => agent.status().instances,
    drain: async () => {
      audit.record("draining");
      const { graceMs } = reloadable;
      if (graceMs !== undefined) {
        latestDeadlineAt = clock.now() + graceMs * DRAIN_MAX_SHARE -
          DRAIN_ANSWER_MARGIN_MS;
      }
      // Not awaited yet: peers that do not answer must not use up the grace
      // period.
      const announcement = startLeaving();
      const isIdle = await drainUntilIdle({
        clock,
        graceMs,
        listenMs: options.drainListenMs,
        isBusy: () => !gate.isIdle() || ingress.inFlight() > 0,
        onListenTimeElapsed: () => {
          refusesNewCalls = true;
        },
      });
      if (graceMs === undefined) await announcement;
      const inFlight = ingress.inFlight();
      audit.record("drained", { inFlight });
      if (graceMs !== undefined) {
        if (!isIdle) await giveUpCalls();
        return await closeAtOnce();
      }
      await data.close();
      await kernel.close();
      await backendClient.close();
      await Promise.all([admin.close(), control.close()]);
    },
    kill: closeAtOnce,
  });
}
