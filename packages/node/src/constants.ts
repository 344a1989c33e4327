/** Constants of the node, with their units. */

/** Period of the gate's clock while work is queued. */
export const GATE_QUEUE_TICK_MS = 25;
/** The same while work is only running: a run is cancelled later by it. */
export const GATE_RUNNING_TICK_MS = 100;
/**
 * Share of the listed slots that a gate goes on using when its backend server
 * sheds: one that sheds below them is failing, not full.
 */
export const LISTED_SLOTS_FLOOR_SHARE = 0.5;
/** Time before its deadline from which a run counts as out of time. */
export const DEADLINE_MARGIN_MS = 20;
/** Period of housekeeping (expiry, pause detection). */
export const HOUSEKEEPING_PERIOD_MS = 250;
/** Time for which losses of a backend server's connections are gathered. */
export const DEATH_DETECTION_WINDOW_MS = 50;
/**
 * Time for which a leaving node goes on refusing before it stops listening.
 * Not below SERVER_KEEP_ALIVE_MS: by then no client holds an idle connection
 * on which a request could be on its way.
 */
export const DRAIN_LISTEN_MS = 5_000;
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
export const PLATFORM_WATCH_WAIT_MS = 30_000;
/** Longest wait before the platform is asked again after an error. */
export const PLATFORM_RETRY_MAX_MS = 10_000;
/** First wait before the platform is asked again after an error. */
export const PLATFORM_RETRY_MIN_MS = 200;
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
export const STORE_REWRITE_GRACE_MS = 2_500;
/** Period of probes of the backend server's health page. */
export const HEALTH_CHECK_PERIOD_MS = 1_000;
/** Log lines about requests that a node writes in a second, over time. */
export const DECISION_LOG_LINES_PER_S = 20;
/** Log lines about requests that may be written at once. */
export const DECISION_LOG_BURST_LINES = 200;
/** Period in which left-out log lines are counted. */
export const DECISION_LOG_REPORT_PERIOD_MS = 1_000;
/** Bytes of log lines that may wait for standard output. */
export const LOG_BUFFER_MAX_BYTES = 256 * 1024;
/** Period in which a stopping node looks whether it is idle. */
export const DRAIN_POLL_PERIOD_MS = 20;
/** Part of the grace period in which a stopping node goes on taking calls. */
export const DRAIN_LISTEN_SHARE = 0.5;
/** Part of the grace period after which a stopping node waits no longer. */
export const DRAIN_MAX_SHARE = 0.88;
/** Share of the retries that the fleet is allowed which nodes plan for. */
export const DIRECT_RETRY_SHARE = 0.5;
/** Links that a node keeps to one peer: a lost packet delays one of them. */
export const LINKS_PER_PEER = 2;
/** Time in which a gate confirms that a call was cancelled; a few hops. */
export const LINK_CANCEL_TIMEOUT_MS = 50;
/** Period in which a link with calls on it is tried. */
export const LINK_PING_PERIOD_MS = 300;
/**
 * Idle time after which a link is tried. The first call on a link that went
 * silent notices it as soon; this only frees the sockets at both ends.
 */
export const LINK_IDLE_PING_MS = 3_000;
/** Silence after which a link is given up; calls on it may have run. */
export const LINK_SILENCE_TIMEOUT_MS = 1_000;
/** Bytes that may wait for a peer that does not read. */
export const LINK_BUFFER_MAX_BYTES = 80 * 1024 * 1024;
/** Audit records kept in memory. */
export const AUDIT_RECORDS_MAX = 1_000;
/** Largest number of tickets minted by one request. */
export const TICKETS_PER_REQUEST_MAX = 100;
/** Longest time that a run with a ticket is waited for after its deadline. */
export const LATE_ANSWER_WAIT_MS = 30_000;
/** Longest wait for another node's reply to a control message. */
export const CONTROL_TIMEOUT_MS = 2_000;
/** Period in which a node checks whether it is to watch the platform. */
export const READER_CHECK_PERIOD_MS = 1_000;
/** Peers of other data centres among the candidates of one round. */
export const REMOTE_PEER_CANDIDATES = 2;
/** Peers of the own data centre among the candidates of one round. */
export const LOCAL_PEER_CANDIDATES = 8;
/** Connections to other nodes' control listeners that are kept. */
export const CONTROL_CLIENTS_MAX = 256;
/** Time that a closing listener gives a new connection to send a request. */
export const CLOSE_IDLE_GRACE_MS = 1_000;
/** Period in which a closing listener closes unused connections. */
export const CLOSE_SWEEP_PERIOD_MS = 100;
