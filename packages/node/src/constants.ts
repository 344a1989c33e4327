/** Constants of the node. */

/** Period of a gate's ticks while calls are queued. */
export const GATE_QUEUE_TICK_MS = 25;
/**
 * Period of a gate's ticks while calls run and none is queued. A run may be
 * cancelled late by up to this.
 */
export const GATE_RUNNING_TICK_MS = 100;
/**
 * Share of the listed slots below which a gate does not reduce its concurrency
 * limit. A backend server that sheds below it is failing, not full.
 */
export const LISTED_SLOTS_FLOOR_SHARE = 0.5;
/**
 * A run that made nested calls and ends less than this before its deadline
 * counts as timed out.
 */
export const DEADLINE_MARGIN_MS = 20;
/** Period in which tickets expire and pauses of the process are detected. */
export const HOUSEKEEPING_PERIOD_MS = 250;
/**
 * Time from the first lost connection to a backend server in which all runs
 * must be lost for it to count as dead.
 */
export const DEATH_DETECTION_WINDOW_MS = 50;
/**
 * Time for which a leaving node still accepts connections and refuses requests.
 * Not below SERVER_KEEP_ALIVE_MS: after that time no client keeps an idle
 * connection on which it could still send a request.
 */
export const DRAIN_LISTEN_MS = 5_000;
/** Timeout of opening a connection. */
export const CONNECT_TIMEOUT_MS = 500;
/** Timeout of receiving the headers of a request. */
export const HEADERS_TIMEOUT_MS = 5_000;
/** Timeout of receiving a whole request. */
export const REQUEST_TIMEOUT_MS = 30_000;
/**
 * Idle time after which a server closes a connection; sent to clients in the
 * `keep-alive` header.
 */
export const SERVER_KEEP_ALIVE_MS = 5_000;
/** Idle time after which the HTTP client closes a connection. */
export const CLIENT_KEEP_ALIVE_MS = 30_000;
/** Longest time that the platform holds a watch request open. */
export const PLATFORM_WATCH_WAIT_MS = 30_000;
/** Longest delay before the platform is asked again after an error. */
export const PLATFORM_RETRY_MAX_MS = 10_000;
/**
 * Base of the exponential backoff after errors of the platform or of a
 * key-value store.
 */
export const PLATFORM_RETRY_MIN_MS = 200;
/**
 * Longest time that a key-value store holds a watch request open. A connection
 * that fails without a reset is noticed after this plus STORE_TIMEOUT_MS.
 */
export const STORE_WATCH_WAIT_MS = 4_000;
/**
 * Pause after a change before the next watch of a store. Each call to the store
 * is charged for, so one call should return several changes.
 */
export const STORE_WATCH_PAUSE_MS = 250;
/** Time beyond the requested wait after which a call to a store times out. */
export const STORE_TIMEOUT_MS = 1_000;
/**
 * Longest delay before a store is asked again after an error. Refused calls are
 * charged for too.
 */
export const STORE_RETRY_MAX_MS = 1_000;
/**
 * Time after an outage of a store in which entries that expired during it may
 * be written again before they count as removed.
 */
export const STORE_REWRITE_GRACE_MS = 2_500;
/** Period of health checks of the backend server. */
export const HEALTH_CHECK_PERIOD_MS = 1_000;
/** Sustained rate of log lines about requests, in lines per second. */
export const DECISION_LOG_LINES_PER_S = 20;
/** Log lines about requests that may be written in a burst. */
export const DECISION_LOG_BURST_LINES = 200;
/** Period in which the number of omitted log lines is logged. */
export const DECISION_LOG_REPORT_PERIOD_MS = 1_000;
/** Bytes of log lines that may wait for standard output. */
export const LOG_BUFFER_MAX_BYTES = 256 * 1024;
/** Period in which a draining node checks whether it is idle. */
export const DRAIN_POLL_PERIOD_MS = 20;
/** Share of the grace period in which a draining node still accepts calls. */
export const DRAIN_LISTEN_SHARE = 0.5;
/**
 * Share of the grace period after which a draining node no longer waits for
 * calls.
 */
export const DRAIN_MAX_SHARE = 0.88;
/**
 * Share of the fleet's retry bounds that ingresses use for the retries that
 * they send. The rest is left for the nested calls of retried runs, which count
 * as retries too.
 */
export const DIRECT_RETRY_SHARE = 0.5;
/**
 * Links that a node keeps to one peer. A lost packet delays the calls on one
 * link only.
 */
export const LINKS_PER_PEER = 2;
/** Time to wait for a gate's reply to a cancelled call; a few network hops. */
export const LINK_CANCEL_TIMEOUT_MS = 50;
/** Period of the checks of links, and of pings on one with pending calls. */
export const LINK_PING_PERIOD_MS = 300;
/**
 * Period of pings on an idle link. They only free the sockets at both ends of a
 * link that failed; a call on such a link detects the failure as fast without
 * them.
 */
export const LINK_IDLE_PING_PERIOD_MS = 3_000;
/**
 * Time without an answer after which a link is closed. Its calls may have run.
 */
export const LINK_SILENCE_TIMEOUT_MS = 1_000;
/** Bytes that may be buffered for a peer that does not read. */
export const LINK_BUFFER_MAX_BYTES = 80 * 1024 * 1024;
/** Audit records kept in memory. */
export const AUDIT_RECORDS_MAX = 1_000;
/** Tickets that one request may ask for. */
export const TICKETS_PER_REQUEST_MAX = 100;
/** Longest time to wait for a run with a ticket after its deadline. */
export const LATE_ANSWER_WAIT_MS = 30_000;
/** Timeout of a control message to another node. */
export const CONTROL_TIMEOUT_MS = 2_000;
/** Period in which a node checks whether it has to watch the platform. */
export const READER_CHECK_PERIOD_MS = 1_000;
/** Peers of other data centres among the candidates of one gossip round. */
export const REMOTE_PEER_CANDIDATES = 2;
/**
 * Peers of the node's own data centre among the candidates of one gossip round.
 */
export const LOCAL_PEER_CANDIDATES = 8;
/** Most cached clients of other nodes' control listeners. */
export const CONTROL_CLIENTS_MAX = 256;
/**
 * Time for which a closing listener keeps a connection without a request, so
 * that a new connection can still send one.
 */
export const CLOSE_IDLE_GRACE_MS = 1_000;
/** Period in which a closing listener closes connections without a request. */
export const CLOSE_SWEEP_PERIOD_MS = 100;
