/** Constants of the policy, with their units. */

/**
 * Time for which a gate waits beyond a run's deadline. A backend server that
 * keeps deadlines answers at its own, which began a network hop later.
 */
export const RUN_DEADLINE_GRACE_MS = 50;
/** The same at the ingress: one more hop. */
export const CALL_DEADLINE_GRACE_MS = 100;

/** Added to the rank of protected kinds, so that they are above all others. */
export const PROTECTED_LEVEL = 10_000;
/** Levels between two ranks; leaves room for the depth of a chain. */
export const LEVELS_PER_RANK = 16;

/** Range of worth per second that is told apart, in powers of two. */
export const WORTH_OCTAVES = 24;
/** Highest rank by worth. */
export const WORTH_RANK_MAX = 99;

/** Longest time that unprotected work is planned to wait in a gate's queue. */
export const QUEUE_WAIT_MAX_MS = 100;
/** Queue entries allowed per slot of the backend server. */
export const QUEUE_ENTRIES_PER_SLOT = 4;
/** Fewest queue entries a gate allows. */
export const QUEUE_ENTRIES_MIN = 16;
/** Slowdown that waiting protected work must bear for floors to be kept. */
export const FLOOR_SLOWDOWN_FACTOR = 10;
/** Time for which floors are suspended after protected work was refused. */
export const FLOOR_SUSPENSION_MS = 1_000;
/** Longest run of a kind that is planned for, as a share of its average. */
export const LONG_RUN_FACTOR = 1.5;
/** Shortest run of a kind, as a share of its average. */
export const SHORT_RUN_FACTOR = 0.5;
/** Weight of a new sample in the service time average. */
export const SERVICE_TIME_GAIN = 0.05;

/** Period in which the throttle of a kind is adjusted. */
export const THROTTLE_INTERVAL_MS = 100;
/** Share of runs that may fail further down without a throttle. */
export const THROTTLE_FAILURE_SHARE_MAX = 0.05;
/** Growth of the admitted share in a period without such failures. */
export const THROTTLE_GROWTH = 1.1;
/** Periods in a row without such failures after which growth is faster. */
export const THROTTLE_RECOVERY_PERIODS = 3;
/** Growth of the admitted share in a calm period. */
export const THROTTLE_RECOVERY_GROWTH = 2;
/** Smallest share that is let through, to notice the end of the trouble. */
export const THROTTLE_SHARE_MIN = 0.02;

/** Share of the slots kept free of waiting runs, per deeper level of calls. */
export const NESTING_RESERVE_SHARE = 0.02;
/** Time for which a depth of calls is remembered. */
export const NESTING_DEPTH_TTL_MS = 10_000;

/** Factor applied to the concurrency limit after a shed or a timeout. */
export const LIMIT_DECREASE_FACTOR = 0.9;
/** Shortest time between two decreases of the limit. */
export const LIMIT_DECREASE_INTERVAL_MS = 100;

/** Retries allowed per first attempt, over time. */
export const RETRY_RATIO = 0.1;
/** Retries that a budget can save up. */
export const RETRY_BURST = 10;
/**
 * Price of repeating a run that makes calls further down: its calls count as
 * repeats at each service below, whose own retries share the same bound.
 */
export const NESTED_RETRY_COST = 4;
/** Backoff before the first retry, before jitter. */
export const BACKOFF_BASE_MS = 10;
/** Longest backoff, before jitter. */
export const BACKOFF_MAX_MS = 1_000;

/** Gates of a service that a node keeps state for, per data centre. */
export const SUBSET_SIZE = 16;
/** Time after which a reported load counts for half. */
export const LOAD_HALF_LIFE_MS = 500;
/** By how much the own gate's load may be higher than another's. */
export const OWN_GATE_MARGIN = 0.1;
/** Load of the nearer gate from which farther ones are considered. */
export const SPILLOVER_LOAD_MIN = 0.85;
/** Time for which a gate's reported run times are believed. */
export const RUN_TIME_REPORT_TTL_MS = 5_000;
/** By how much a farther gate's load must be lower. */
export const SPILLOVER_MARGIN = 0.2;
/** Time for which a gate's accept level is believed. */
export const ACCEPT_LEVEL_TTL_MS = 100;
/** Time over which a new gate is ramped up to its full share. */
export const SLOW_START_MS = 5_000;
/** Share of traffic a gate gets at the beginning of its slow start. */
export const SLOW_START_SHARE_MIN = 0.1;
/** Consecutive failures after which a gate is ejected. */
export const EJECT_FAILURES_MIN = 5;
/** First ejection time; doubles with each ejection in a row. */
export const EJECT_BASE_MS = 1_000;
/** Longest ejection; a gate that is back is tried by one call within it. */
export const EJECT_MAX_MS = 4_000;
/** Largest share of a service's gates that may be ejected at once. */
export const EJECT_SHARE_MAX = 0.5;

/** Lifetime of a ticket. */
export const TICKET_TTL_MS = 60_000;
/** Largest number of unexpired tickets of one node. */
export const TICKETS_MAX = 100_000;

/** Backend server deaths after which a call is quarantined. */
export const SUSPECT_DEATHS_MAX = 2;
/** Time for which a suspect or quarantined call is remembered. */
export const SUSPECT_TTL_MS = 60_000;
/** Deaths of different backend servers that make a mass failure. */
export const MASS_FAILURE_DEATHS_MIN = 3;
/** Time window of a mass failure. */
export const MASS_FAILURE_WINDOW_MS = 500;
/** Longest time between the deaths of one failure that a call was part of. */
export const MASS_FAILURE_SPAN_MAX_MS = 100;
/** Most suspects remembered by a node. */
export const SUSPECTS_MAX = 4_096;

/** Gap between two ticks that counts as a pause of the process. */
export const PAUSE_GAP_MIN_MS = 500;

/** Peers to which fresh news is pushed in each round. */
export const GOSSIP_FANOUT = 3;
/** Rounds in which a node pushes a piece of news. */
export const GOSSIP_PUSH_ROUNDS = 3;
/** Period of rounds of rumours. */
export const GOSSIP_PUSH_PERIOD_MS = 200;
/** Period of comparisons with a random peer. */
export const ANTI_ENTROPY_PERIOD_MS = 1_000;
/** The same for a node that reads all news from the platform itself. */
export const READER_ANTI_ENTROPY_PERIOD_MS = 10_000;
/** Age from which news is compared by hash and no longer by name. */
export const SETTLED_AFTER_MS = 10_000;
/** Buckets in which settled news is compared. */
export const ANTI_ENTROPY_BUCKETS = 256;
/** News in one message. */
export const GOSSIP_MESSAGE_ITEMS_MAX = 256;

/** Nodes of a data centre that watch the platform. */
export const READERS_PER_DATA_CENTRE = 3;
/** Further nodes that probe the readers and stand in for them. */
export const STANDBY_READERS_PER_DATA_CENTRE = 3;
/** Failed probes in a row after which a reader is passed over. */
export const READER_PROBE_FAILURES = 2;
/** Time for which an unreachable reader is passed over. */
export const READER_SUSPECT_TTL_MS = 30_000;
/** Longest wait of a node without peers before it asks the platform itself. */
export const BOOTSTRAP_JITTER_MS = 10_000;
/** Time for which gossip that an instance is leaving is believed. */
export const LEAVING_FACT_TTL_MS = 60_000;
