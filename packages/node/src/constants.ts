/** Constants of the node, with their units. */

/** Period of the gate's clock while work is queued. */
export const GATE_TICK_MS = 25;
/** The same while work is only running: a run is cancelled later by it. */
export const GATE_RUNS_TICK_MS = 100;
/**
 * Share of the listed slots that a gate goes on using when its backend server
 * sheds: one that sheds below them is failing, not full.
 */
export const LISTED_LIMIT_FLOOR = 0.5;
/** Time before its deadline from which a run counts as out of time. */
export const OUT_OF_TIME_MS = 20;
/** Period of housekeeping (expiry, pause detection). */
export const HOUSEKEEPING_MS = 250;
/** Time for which losses of a backend server's connections are gathered. */
export const DEATH_WINDOW_MS = 50;
/**
 * Time for which a leaving node goes on refusing before it stops listening.
 * Not below SERVER_KEEP_ALIVE_MS: by then no client holds an idle connection
 * on which a request could be on its way.
 */
export const DRAIN_QUIET_MS = 5_000;
/** Longest time to establish a connection. */
export const CONNECT_TIMEOUT_MS = 500;
/** Time to receive the headers of a request. */
export const HEADERS_TIMEOUT_MS = 5_000;
/** Time to receive a whole request. */
export const REQUEST_TIMEOUT_MS = 30_000;
/** Idle time after which a server closes a connection; clients are told it. */
export const SERVER_KEEP_ALIVE_MS = 5_000;
/** Idle time after which a client closes a connection. */
export const CLIENT_KEEP_ALIVE_MS = 30_000;
/** Wait of a watch on the platform. */
export const WATCH_WAIT_MS = 30_000;
/** Longest wait before the platform is asked again after an error. */
export const PLATFORM_RETRY_MAX_MS = 10_000;
/** First wait before the platform is asked again after an error. */
export const PLATFORM_RETRY_MS = 200;
/**
 * Wait of a watch on a key-value store. A connection that goes silent without
 * a reset is noticed after this and STORE_TIMEOUT_MS.
 */
export const STORE_WATCH_WAIT_MS = 4_000;
/** Pause after a change before the next watch; each call is priced. */
export const STORE_WATCH_PAUSE_MS = 250;
/** Time beyond the wait after which a store that stays silent is given up. */
export const STORE_TIMEOUT_MS = 1_000;
/** Longest wait before a store is asked again; refused calls are priced. */
export const STORE_RETRY_MAX_MS = 1_000;
/** Time in which entries that lapsed during an outage are written again. */
export const STORE_RETURN_GRACE_MS = 2_500;
/** Period of probes of the backend server's health page. */
export const HEALTH_PERIOD_MS = 1_000;
/** Log lines about requests that a node writes in a second, over time. */
export const DECISION_LINES_PER_S = 20;
/** Log lines about requests that may be written at once. */
export const DECISION_LINES_BURST = 200;
/** Period in which left-out log lines are counted. */
export const DECISION_REPORT_MS = 1_000;
/** Bytes of log lines that may wait for standard output. */
export const LOG_BUFFER_MAX_BYTES = 256 * 1024;
/** Period in which a stopping node looks whether it is idle. */
export const DRAIN_POLL_MS = 20;
/** Part of the grace period in which a stopping node goes on taking calls. */
export const DRAIN_QUIET_SHARE = 0.5;
/** Part of the grace period after which a stopping node waits no longer. */
export const DRAIN_LIMIT_SHARE = 0.88;
/** Share of the retries that the fleet is allowed which nodes plan for. */
export const RETRY_OWN_SHARE = 0.5;
/** Links that a node keeps to one peer: a lost packet delays one of them. */
export const LINKS_PER_PEER = 2;
/** Time in which a gate confirms that a call was cancelled; a few hops. */
export const LINK_CANCEL_MS = 50;
/** Period in which a link with calls on it is tried. */
export const LINK_PING_MS = 300;
/**
 * Idle time after which a link is tried. The first call on a link that went
 * silent notices it as soon; this only frees the sockets at both ends.
 */
export const LINK_IDLE_PING_MS = 3_000;
/** Silence after which a link is given up; calls on it may have run. */
export const LINK_SILENCE_MS = 1_000;
/** Bytes that may wait for a peer that does not read. */
export const LINK_BUFFER_MAX_BYTES = 80 * 1024 * 1024;
/** Audit records kept in memory. */
export const AUDIT_RECORDS = 1_000;
/** Largest number of tickets minted by one request. */
export const TICKETS_PER_REQUEST_MAX = 100;
/** Longest time that a run with a ticket is waited for after its deadline. */
export const LATE_ANSWER_MS = 30_000;
/** Longest wait for another node's reply to a control message. */
export const CONTROL_TIMEOUT_MS = 2_000;
/** Period in which a node checks whether it is to watch the platform. */
export const READER_PERIOD_MS = 1_000;
/** Peers of other data centres among the candidates of one round. */
export const REMOTE_PEERS = 2;
/** Peers of the own data centre among the candidates of one round. */
export const LOCAL_PEERS = 8;
/** Connections to other nodes' control listeners that are kept. */
export const CONTROL_CLIENTS_MAX = 256;
/** Time that a closing listener gives a new connection to send a request. */
export const CLOSE_GRACE_MS = 1_000;
/** Period in which a closing listener closes unused connections. */
export const CLOSE_SWEEP_MS = 100;
