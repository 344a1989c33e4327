/** Timeouts, intervals and limits that are the same for every node. */

/**
 * Interval of a gate's ticks while calls are queued. On each tick the gate
 * cancels overdue runs, refuses queued calls that can't end in time and starts
 * others if slots are free.
 */
export const GATE_QUEUE_TICK_MS = 25;
/**
 * Interval of a gate's ticks while calls run and none is queued. An overdue run
 * may be cancelled late by up to this.
 */
export const GATE_RUNNING_TICK_MS = 100;
/**
 * Share of a backend server's slots below which shed calls do not lower the
 * gate's concurrency limit. Applies where the instance list names the backend
 * server, usually with its slots: one that sheds below this share is failing,
 * not full.
 */
export const LISTED_SLOTS_FLOOR_SHARE = 0.5;
/**
 * A run that made nested calls and ends less than this before its deadline, or
 * after it, counts as starved: it is taken to have waited for them. The gate
 * throttles kinds with many starved runs. A run without nested calls can't be
 * starved.
 */
export const DEADLINE_MARGIN_MS = 20;
/** Interval of the checks for expired tickets and pauses of the process. */
export const HOUSEKEEPING_PERIOD_MS = 250;
/**
 * Time from the first lost connection to a backend server in which all runs
 * must be lost for it to count as dead.
 */
export const DEATH_DETECTION_WINDOW_MS = 50;
/**
 * Shortest time for which a draining node without a grace period keeps its
 * listeners open, to refuse new calls. Not below SERVER_KEEP_ALIVE_MS: a server
 * closes a connection that is idle for that long after a response, so no client
 * can still send a request on one that was idle before the drain. With a grace
 * period, DRAIN_LISTEN_SHARE applies instead.
 */
export const DRAIN_LISTEN_MS = 5_000;
/** Timeout of connecting to another node or to an HTTP server. */
export const CONNECT_TIMEOUT_MS = 500;
/** Longest time that a listener waits for all headers of a request. */
export const HEADERS_TIMEOUT_MS = 5_000;
/** Longest time that a listener waits for a whole request. */
export const REQUEST_TIMEOUT_MS = 30_000;
/**
 * Idle time after which a server closes a connection; sent to clients in the
 * `keep-alive` header.
 */
export const SERVER_KEEP_ALIVE_MS = 5_000;
/** Largest body of a response that the HTTP client reads. */
export const RESPONSE_BODY_MAX_BYTES = 16 * 1024 * 1024;
/** Bytes of incomplete response bodies that one HTTP client holds in total. */
export const RESPONSE_BUFFER_MAX_BYTES = 64 * 1024 * 1024;
/** Size below which a piece of a response body counts as small. */
export const RESPONSE_SMALL_PIECE_BYTES = 64;
/**
 * Small pieces of one response body that the HTTP client reads. Each costs about
 * as much processor time as a large one, which other requests have to wait for.
 */
export const RESPONSE_SMALL_PIECES_MAX = 16 * 1024;
/** Informational answers (status 1xx) that the HTTP client reads for a request. */
export const INFORMATIONAL_ANSWERS_MAX = 32;
/** Idle time after which the HTTP client closes a connection. */
export const CLIENT_KEEP_ALIVE_MS = 30_000;
/** Longest time that the platform holds a watch request open. */
export const PLATFORM_WATCH_WAIT_MS = 30_000;
/** Longest delay before the platform is asked again after an error. */
export const PLATFORM_RETRY_MAX_MS = 10_000;
/**
 * Time after which a call that waits for changes is ended, if a change is known
 * from elsewhere that it has not returned.
 */
export const WATCH_BEHIND_MAX_MS = 300;
/**
 * Base of the exponential backoff after errors of the platform or of a
 * key-value store.
 */
export const PLATFORM_RETRY_MIN_MS = 200;
/**
 * Longest time that a key-value store holds a watch request open. What a reader
 * knows is confirmed by other reads meanwhile.
 */
export const STORE_WATCH_WAIT_MS = 30_000;
/**
 * Pause after a change before the next watch of a store. The platform charges
 * for each call to the store, so one call should return several changes.
 */
export const STORE_WATCH_PAUSE_MS = 500;
/** Time beyond the requested wait after which a call to a store times out. */
export const STORE_TIMEOUT_MS = 1_000;
/**
 * Longest delay before the next call to a store after one that failed. The
 * delay saves calls, since the platform charges for refused ones too. It is
 * bounded so that a node soon notices that the store works again.
 */
export const STORE_RETRY_MAX_MS = 1_000;
/**
 * Delay before a known instance that a store no longer lists counts as removed.
 * Entries that expired during an outage of the store are written again soon
 * after it, so they can reappear within this delay.
 */
export const STORE_REWRITE_GRACE_MS = 2_500;
/** Interval of the health checks of the backend server. */
export const HEALTH_CHECK_PERIOD_MS = 1_000;
/**
 * Sustained rate of log lines about single requests, such as a refusal or a
 * failed attempt.
 */
export const DECISION_LOG_LINES_PER_S = 20;
/** Log lines about single requests that may be written in a burst. */
export const DECISION_LOG_BURST_LINES = 200;
/**
 * Interval at which the number of omitted log lines about single requests is
 * logged.
 */
export const DECISION_LOG_REPORT_PERIOD_MS = 1_000;
/** Bytes of log lines that may wait for standard output. */
export const LOG_BUFFER_MAX_BYTES = 256 * 1024;
/** Interval at which a draining node checks whether calls are in flight. */
export const DRAIN_POLL_PERIOD_MS = 20;
/** Delay of such a check from which the process counts as held up. */
export const DRAIN_LATE_POLL_MS = 100;
/**
 * Smallest share of the grace period for which a draining node keeps its
 * listeners open. The listener for the platform's own protocol, if there is
 * one, still accepts new calls in this time and refuses them afterwards, since
 * they may not be answered before the process is killed. Without a grace
 * period, DRAIN_LISTEN_MS applies instead.
 */
export const DRAIN_LISTEN_SHARE = 0.5;
/**
 * Share of the grace period after which a draining node no longer waits for the
 * calls in flight. The wait begins when the time of DRAIN_LISTEN_SHARE has
 * passed. The rest of the grace period is for closing listeners and connections
 * before the process is killed.
 */
export const DRAIN_MAX_SHARE = 0.88;
/**
 * Time before a draining node stops waiting at which the deadlines of calls end
 * that it still takes, so that each is answered before its connection closes.
 */
export const DRAIN_ANSWER_MARGIN_MS = 200;
/** Time to write the answers of calls that a draining node gives up. */
export const DRAIN_FLUSH_MS = 150;
/**
 * Share of the fleet's retry bounds for direct retries: attempts that an
 * ingress sends again. The rest is left for indirect ones: nested calls that a
 * retried run makes again, which count as retries too.
 */
export const DIRECT_RETRY_SHARE = 0.5;
/**
 * Links that a node keeps to one peer. A lost packet delays the calls on one
 * link only.
 */
export const LINKS_PER_PEER = 2;
/**
 * Time to wait for a gate's reply to a cancel message: long enough for a few
 * messages to cross the network. A refusal tells that the call was not run.
 */
export const LINK_CANCEL_TIMEOUT_MS = 50;
/**
 * Interval of the checks of all links. Each check closes links whose peer does
 * not answer, and pings the peers of links that have pending calls and received
 * nothing for half of this time.
 */
export const LINK_PING_PERIOD_MS = 300;
/**
 * Interval of the pings on a link without pending calls. They only serve to
 * close the sockets at both ends of a link that failed. A call that is sent on
 * such a link detects the failure as fast without them.
 */
export const LINK_IDLE_PING_PERIOD_MS = 3_000;
/**
 * Time for which a peer may send nothing after it was sent a message, before
 * the link is closed. Whether the link's pending calls ran is then unknown.
 */
export const LINK_SILENCE_TIMEOUT_MS = 1_000;
/** Bytes that may be buffered for a peer that does not read. */
export const LINK_BUFFER_MAX_BYTES = 80 * 1024 * 1024;
/** Audit records kept in memory. */
export const AUDIT_RECORDS_MAX = 1_000;
/** Tickets that one request may ask for. */
export const TICKETS_PER_REQUEST_MAX = 100;
/**
 * Longest time after the deadline of a call with a ticket for which an ingress
 * still waits for the answer, so that a resend can receive it.
 */
export const LATE_ANSWER_WAIT_MS = 30_000;
/** Longest time to wait for the reply of another node's control listener. */
export const CONTROL_TIMEOUT_MS = 1_000;
/**
 * Interval at which a node checks whether it has to watch the platform for
 * changes. Usually only readers do, the nodes of a data centre that are
 * selected for it; the others receive the changes from them or by gossip.
 */
export const READER_CHECK_PERIOD_MS = 1_000;
/** Interval at which a node probes the readers that it would replace. */
export const READER_PROBE_PERIOD_MS = 1_000;
/** Peers of other data centres among the candidates of one gossip round. */
export const REMOTE_PEER_CANDIDATES = 2;
/**
 * Peers of the node's own data centre among the candidates of one gossip round.
 */
export const LOCAL_PEER_CANDIDATES = 8;
/** Maximum number of cached clients for other nodes' control listeners. */
export const CONTROL_CLIENTS_MAX = 256;
/**
 * Time for which a closing listener keeps a connection without a request, so
 * that a new connection can still send one.
 */
export const CLOSE_IDLE_GRACE_MS = 1_000;
/**
 * Interval at which a closing listener closes connections without a request.
 */
export const CLOSE_SWEEP_PERIOD_MS = 100;
