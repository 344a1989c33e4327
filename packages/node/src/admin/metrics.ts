/** Metrics in the Prometheus format. */

import type { GateLoad, Outcome } from "@coltsfootdeal/policy";
import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from "prom-client";

/** A finished call, as it is counted. */
export interface CallSample {
  readonly service: string;
  readonly kind: string;
  readonly outcome: Outcome;
  readonly elapsedMs: number;
}

/** Current values of the gauges, read at each scrape. */
export interface GaugeSource {
  readonly gateLoad: () => GateLoad;
  /** Requests per second that the backend server states; 0 for none. */
  readonly backendRate: () => number;
  /** Version of the fleet bundle in force; 0 for none. */
  readonly bundleVersion: () => number;
  readonly tickets: () => number;
  readonly instances: () => number;
  /** Age in ms of what is known of the platform; undefined if unknown. */
  readonly knowledgeAgeMs: () => number | undefined;
  /** Time in ms since the platform answered; undefined before the first. */
  readonly platformAnswerAgeMs: () => number | undefined;
  /** Whether this node reads the platform. */
  readonly reader: () => boolean;
}

/** The metrics of one node. */
export interface Metrics {
  readonly observeCall: (sample: CallSample) => void;
  /** Counts a death of this node's backend server. */
  readonly countBackendDeath: () => void;
  /** Renders all metrics for a scrape. */
  readonly text: () => Promise<string>;
  readonly contentType: string;
  readonly close: () => void;
}

function resolveReason(outcome: Outcome): string {
  return "reason" in outcome ? outcome.reason : "";
}

/** Creates the metrics of one node in their own registry. */
export function createMetrics(source: GaugeSource): Metrics {
  const registry = new Registry();
  const registers = [registry];
  collectDefaultMetrics({ register: registry });
  const calls = new Counter({
    name: "coltsfootdeal_calls_total",
    help: "Calls of callers, by outcome and reason.",
    labelNames: ["service", "kind", "outcome", "reason"] as const,
    registers,
  });
  const durations = new Histogram({
    name: "coltsfootdeal_call_duration_seconds",
    help: "Time from a call's headers to its answer.",
    labelNames: ["service", "kind"] as const,
    buckets: [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5],
    registers,
  });
  const deaths = new Counter({
    name: "coltsfootdeal_backend_deaths_total",
    help: "Deaths of the own backend server.",
    registers,
  });

  function addGauge(name: string, help: string, read: () => number): void {
    new Gauge({
      name: `coltsfootdeal_${name}`,
      help,
      registers,
      collect() {
        this.set(read());
      },
    });
  }
  addGauge(
    "gate_in_flight",
    "Runs on the own backend server.",
    () => source.gateLoad().inFlight,
  );
  addGauge(
    "gate_queued",
    "Calls in the gate's queue.",
    () => source.gateLoad().queued,
  );
  addGauge(
    "gate_limit",
    "Concurrency limit in force.",
    () => source.gateLoad().limit,
  );
  addGauge(
    "gate_accept_level",
    "Lowest level that the gate accepts.",
    () => source.gateLoad().acceptLevel,
  );
  addGauge(
    "backend_rate_limit",
    "Requests per second that the backend server states; 0 for none.",
    source.backendRate,
  );
  addGauge(
    "bundle_version",
    "Version of the fleet bundle in force; 0 for none.",
    source.bundleVersion,
  );
  addGauge("tickets", "Tickets presented and not expired.", source.tickets);
  addGauge("instances", "Instances known.", source.instances);
  addGauge(
    "reader",
    "1 while this node watches the platform.",
    () => Number(source.reader()),
  );
  addGauge(
    "knowledge_age_seconds",
    "Age of what this node knows of the platform; NaN if never confirmed.",
    () => (source.knowledgeAgeMs() ?? NaN) / 1_000,
  );
  addGauge(
    "platform_answer_age_seconds",
    "Time since the platform answered this node; NaN before the first answer.",
    () => (source.platformAnswerAgeMs() ?? NaN) / 1_000,
  );

  return {
    observeCall: ({ service, kind, outcome, elapsedMs }) => {
      const reason = resolveReason(outcome);
      calls.inc({ service, kind, outcome: outcome.kind, reason });
      durations.observe({ service, kind }, elapsedMs / 1_000);
    },
    countBackendDeath: () => deaths.inc(),
    text: () => registry.metrics(),
    contentType: registry.contentType,
    close: () => registry.clear(),
  };
}
