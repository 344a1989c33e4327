/** Options, interface and status of a node. */

import {
  type Clock,
  type Closable,
  defineServiceKey,
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

/** Keys of the services that a node registers with its kernel. */
export const KERNEL_SERVICES = {
  agent: defineServiceKey<Agent>("agent"),
  audit: defineServiceKey<Audit>("audit"),
  gate: defineServiceKey<Gate>("gate"),
  ingress: defineServiceKey<Ingress & { readonly close: () => void }>(
    "ingress",
  ),
  metrics: defineServiceKey<Metrics>("metrics"),
  httpClient: defineServiceKey<HttpClient>("http_client"),
  links: defineServiceKey<Closable>("links"),
} as const;

/** Options of a node, apart from its settings. */
export interface NodeOptions {
  readonly clock: Clock;
  readonly log: Log;
  /**
   * Time for which a leaving node still listens and refuses new work, in ms.
   * @default DRAIN_LISTEN_MS
   */
  readonly drainListenMs?: number;
}

/** Settings that can change while a node runs. */
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
  /** Replaces the reloadable settings. */
  readonly reconfigure: (settings: ReloadableSettings) => void;
  /** Number of known instances, this node's included. */
  readonly knownInstanceCount: () => number;
  /** Shuts down gracefully: leaves the fleet and finishes calls in flight. */
  readonly drain: () => Promise<void>;
  /** Shuts down at once, as if the process were killed. */
  readonly kill: () => Promise<void>;
}

/** Content of the page `/status`. */
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
