/** Constants of the measurements, with their units. */

/** One-way latency between a client and a node. */
export const CLIENT_LATENCY_MS = 3;
/** One-way latency within a data centre. */
export const LOCAL_LATENCY_MS = 0.25;
/** Time after which a connection attempt to a silent host fails. */
export const CONNECT_TIMEOUT_MS = 500;
/** Period of the gates' clocks. */
export const TICK_MS = 10;
/** Period of probes of a backend server's health page. */
export const HEALTH_MS = 1_000;
/** Time for gossip to reach all nodes of a service. */
export const GOSSIP_MS = 200;
/** Load before and after the pressure, as a share of capacity. */
export const CALM_LOAD = 0.8;
/** Width of the windows in which recovery is looked for. */
export const RECOVERY_WINDOW_MS = 100;
/** Share of what was offered that counts as recovered. */
export const RECOVERED_SHARE = 0.99;
