/** What a node is given, and what it shows. */

import {
  type Clock,
  type Closable,
  defineService,
  type Kernel,
} from "@coltsfootdeal/kernel";
import type { Readiness } from "./admin/admin_api.ts";
import type { Audit } from "./admin/audit.ts";
import type { Metrics } from "./admin/metrics.ts";
import type { Agent, AgentStatus } from "./agent/agent.ts";
import type { Gate } from "./gate/gate.ts";
import type { HttpClient } from "./http_client.ts";
import type { Ingress } from "./ingress/ingress.ts";
import type { Log } from "./log.ts";
import type { NodeSettings } from "./settings.ts";

/** Names under which a node's services find each other. */
export const KERNEL_SERVICES = {
  agent: defineService<Agent>("agent"),
  audit: defineService<Audit>("audit"),
  gate: defineService<Gate>("gate"),
  ingress: defineService<Ingress & { readonly close: () => void }>("ingress"),
  metrics: defineService<Metrics>("metrics"),
  httpClient: defineService<HttpClient>("http_client"),
  links: defineService<Closable>("links"),
} as const;

/** What a node is given. */
export interface NodeOptions {
  readonly clock: Clock;
  readonly log: Log;
  /**
   * Time for which a leaving node goes on refusing new work.
   * @default DRAIN_QUIET_MS
   */
  readonly drainListenMs?: number;
}

/** Settings that may change while a node runs. */
export type ReloadableSettings = Pick<NodeSettings, "retries" | "graceMs">;

/** A running node. */
export interface Node {
  readonly kernel: Kernel;
  readonly incarnation: string;
  readonly dataAddress: string;
  readonly adminAddress: string;
  readonly controlAddress: string;
  readonly readiness: () => Readiness;
  readonly status: () => NodeStatus;
  /** Applies what settings may change while the node runs. */
  readonly reconfigure: (settings: ReloadableSettings) => void;
  /** Number of instances that the node knows. */
  readonly knownInstanceCount: () => number;
  /** Says that it is leaving, finishes what is in flight, and closes. */
  readonly drain: () => Promise<void>;
  /** Ends at once, as when the process is killed. */
  readonly kill: () => Promise<void>;
}

/** The page `/status`. */
export interface NodeStatus {
  readonly instance: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly incarnation: string;
  readonly readiness: Readiness;
  readonly leaving: boolean;
  readonly bundles: readonly {
    readonly scope: string;
    readonly version: number;
    readonly digest: string;
  }[];
  readonly gate: object;
  readonly ingress: { readonly inFlight: number };
  readonly tickets: number;
  readonly agent: AgentStatus;
  readonly upstreams: readonly object[];
}
