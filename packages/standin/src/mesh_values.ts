/**
 * Values in the key-value store: the instance entries that backend servers
 * write and the configuration that the operator writes.
 */

/** The entry by which a backend server registers itself. */
export interface MeshInstanceEntry {
  /** `IP:PORT` of the backend server. */
  readonly address: string;
  readonly service: string;
  readonly zone: string;
  readonly slots: number;
  /** @default "ready" */
  readonly state?: "ready" | "draining";
  /**
   * Start of the incarnation, in Unix milliseconds.
   * @default 1_700_000_000_000
   */
  readonly born?: number;
}

/** A route; absent fields take the defaults of the formatter. */
export interface MeshRoute {
  readonly service?: string;
  readonly traffic_split?: readonly {
    readonly service: string;
    readonly weight: number;
  }[];
  readonly type?: "idempotent" | "non_idempotent";
  readonly timeout_s?: number;
  readonly priority?: number;
  readonly max_attempts?: number;
}

/** Host name that all formatted routes match. */
export const MESH_HOST = "app.example";

/** Formats the entry of a backend server as JSON. */
export function formatMeshInstanceEntry(entry: MeshInstanceEntry): string {
  const { address, service, zone, slots, state = "ready" } = entry;
  return JSON.stringify({
    address,
    born: entry.born ?? 1_700_000_000_000,
    information: { service, version: "v1", zone, slots },
    status: { state, sequence: 1, cold_remaining_s: 0 },
  });
}

/** Formats a configuration as JSON. A route matches the prefix `/NAME/`. */
export function formatMeshConfiguration(
  version: number,
  options: {
    readonly services: Iterable<string>;
    readonly routes: Readonly<Record<string, MeshRoute>>;
  },
): string {
  return JSON.stringify({
    version: version.toString(16).padStart(8, "0"),
    routes: Object.fromEntries(
      Object.entries(options.routes).map(([name, route]) => [name, {
        host: MESH_HOST,
        prefix: `/${name}/`,
        type: "idempotent",
        timeout_s: 2,
        target_latency_s: 0.5,
        priority: 1,
        max_attempts: 2,
        ...route,
      }]),
    ),
    services: Object.fromEntries(
      [...new Set(options.services)].map((name) => [name, {
        health_check_path: "/health",
        max_connections: 100,
        protocol: "h1",
        tls: false,
      }]),
    ),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_000_000,
      header_timeout_s: 3,
      idle_timeout_s: 5,
    },
  });
}
