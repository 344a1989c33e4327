/** Constants of the policies, with their units. */

/**
 * Time for which a gate waits for a run beyond its deadline. A backend server
 * that enforces deadlines counts from the arrival of the call, one hop later.
 */
export const RUN_DEADLINE_GRACE_MS = 50;
/** The same for a call at the ingress, which is one hop further away. */
export const CALL_DEADLINE_GRACE_MS = 100;

/** Lowest level of protected work; above all levels of other work. */
export const PROTECTED_LEVEL = 10_000;
/** Levels of one rank, which tell apart the depths of nested calls. */
export const LEVELS_PER_RANK = 16;

/** Range of worth per second that ranks distinguish, in powers of two. */
export const WORTH_OCTAVES = 24;
/** Highest rank by worth. */
export const WORTH_RANK_MAX = 99;

/** Longest estimated wait with which a gate queues unprotected requests. */
export const QUEUE_WAIT_MAX_MS = 100;
/** Maximum number of queue entries per slot of the backend server. */
export const QUEUE_ENTRIES_PER_SLOT = 4;
/** Lower bound of the maximum queue length of a gate. */
export const QUEUE_ENTRIES_MIN = 16;
/**
 * Slowdown of the backend server at which queued protected work must still meet
 * its deadlines. Otherwise no slot is given to a kind below its floor, that is
 * its guaranteed share of the slots.
 */
export const FLOOR_SLOWDOWN_FACTOR = 10;
/** Time for which floors do not apply after protected work was refused. */
export const FLOOR_SUSPENSION_MS = 1_000;
/** Longest run time that is planned for, relative to the kind's average. */
export const LONG_RUN_FACTOR = 1.5;
/**
 * Shortest run time that is expected, relative to the kind's average. Queued
 * work with less time left is refused.
 */
export const SHORT_RUN_FACTOR = 0.5;
/** Weight of a new sample in the moving averages of run times. */
export const SERVICE_TIME_GAIN = 0.05;

/** Shortest period between two adjustments of a kind's throttle. */
export const THROTTLE_INTERVAL_MS = 100;
/** Share of runs with a refused nested call that is tolerated. */
export const THROTTLE_FAILURE_SHARE_MAX = 0.05;
/** Growth factor of the admitted share after a period within tolerance. */
export const THROTTLE_GROWTH = 1.1;
/** Consecutive periods within tolerance after which growth is faster. */
export const THROTTLE_RECOVERY_PERIODS = 3;
/** Growth factor of the admitted share from then on. */
export const THROTTLE_RECOVERY_GROWTH = 2;
/** Smallest admitted share; the runs it admits detect the recovery. */
export const THROTTLE_SHARE_MIN = 0.02;

/** Share of the concurrency limit reserved for each greater nesting depth. */
export const NESTING_RESERVE_SHARE = 0.02;
/** Time for which slots stay reserved after the last call of that depth. */
export const NESTING_DEPTH_TTL_MS = 10_000;

/** Factor applied to the concurrency limit when the backend server sheds. */
export const LIMIT_DECREASE_FACTOR = 0.9;
/** Shortest time between two decreases of the concurrency limit. */
export const LIMIT_DECREASE_INTERVAL_MS = 100;

/** Retries that a first attempt adds to a retry budget. */
export const RETRY_RATIO = 0.1;
/** Capacity of a retry budget, in retries. */
export const RETRY_BURST = 10;
/**
 * Cost, in retries, of repeating a call whose run makes nested calls. These are
 * repeated as well: at their services they count as retries, within the same
 * bound as the retries that start there.
 */
export const NESTED_RETRY_COST = 4;
/** Backoff before the first retry, before jitter. */
export const BACKOFF_BASE_MS = 10;
/** Longest backoff, before jitter. */
export const BACKOFF_MAX_MS = 1_000;

/** Gates of a service per data centre that a node keeps state for. */
export const SUBSET_SIZE = 16;
/** Time after which the weight of a reported load is halved. */
export const LOAD_HALF_LIFE_MS = 500;
/** Amount by which the own gate's cost may exceed that of another gate. */
export const OWN_GATE_MARGIN = 0.1;
/** Cost of a gate from which gates of farther data centres are considered. */
export const SPILLOVER_COST_MIN = 0.85;
/** Time for which a gate's reported run times are used. */
export const RUN_TIME_REPORT_TTL_MS = 5_000;
/** Amount by which a farther gate's cost must be lower for it to be picked. */
export const SPILLOVER_MARGIN = 0.2;
/** Time for which a gate's accept level is used. */
export const ACCEPT_LEVEL_TTL_MS = 100;
/** Time over which a new gate ramps up to its full share of traffic. */
export const SLOW_START_MS = 5_000;
/** Relative share of traffic at the beginning of the slow start. */
export const SLOW_START_SHARE_MIN = 0.1;
/** Consecutive failures after which a gate is ejected. */
export const EJECT_FAILURES_MIN = 5;
/** Duration of the first ejection; doubles with each consecutive one. */
export const EJECT_BASE_MS = 1_000;
/** Longest ejection, which bounds the time until a recovered gate is tried. */
export const EJECT_MAX_MS = 4_000;
/** Largest share of a service's gates that may be ejected at once. */
export const EJECT_SHARE_MAX = 0.5;

/** Lifetime of a ticket. */
export const TICKET_TTL_MS = 60_000;
/** Maximum number of unexpired tickets of one node. */
export const TICKETS_MAX = 100_000;

/** Number of backend server deaths after which a call is quarantined. */
export const QUARANTINE_DEATHS_MIN = 2;
/** Time for which a death counts against the calls that were running. */
export const SUSPECT_TTL_MS = 60_000;
/** Number of backend servers whose deaths count as a mass failure. */
export const MASS_FAILURE_DEATHS_MIN = 3;
/** Time before and after a death in which others count as the same failure. */
export const MASS_FAILURE_WINDOW_MS = 500;
/**
 * Longest time between deaths at which the same call was running that a mass
 * failure explains.
 */
export const MASS_FAILURE_SPAN_MAX_MS = 100;
/** Maximum number of suspect calls that a node remembers. */
export const SUSPECTS_MAX = 4_096;

/** Delay of a tick beyond its period that counts as a process pause. */
export const PAUSE_GAP_MIN_MS = 500;

/** Peers to which new items are pushed in each round. */
export const GOSSIP_FANOUT = 3;
/** Rounds in which a node pushes an item. */
export const GOSSIP_PUSH_ROUNDS = 3;
/** Period of the push rounds. */
export const GOSSIP_PUSH_PERIOD_MS = 200;
/** Period of the anti-entropy comparisons with a random peer. */
export const ANTI_ENTROPY_PERIOD_MS = 2_000;
/** Age from which news is settled: compared by hash instead of in full. */
export const SETTLED_AFTER_MS = 2_000;
/** Number of hash buckets in which settled news is compared. */
export const ANTI_ENTROPY_BUCKETS = 256;
/** Maximum number of news items in one message. */
export const GOSSIP_MESSAGE_ITEMS_MAX = 256;

/** Nodes per data centre that watch the platform, called readers. */
export const READERS_PER_DATA_CENTRE = 2;
/** Further nodes per data centre that probe the readers and replace them. */
export const STANDBY_READERS_PER_DATA_CENTRE = 2;
/** Consecutive failed probes after which a node is not a reader. */
export const READER_PROBE_FAILURES = 2;
/**
 * Time for which a node that failed its probes is not a reader, unless a later
 * probe succeeds.
 */
export const READER_SUSPECT_TTL_MS = 30_000;
/**
 * Age of a node's knowledge of the platform from which it asks peers. By then a
 * reader has renewed its own, so that one ask is enough.
 */
export const KNOWLEDGE_ASK_AGE_MS = 1_000;
/**
 * Age from which the reader that read the platform last reads it again. Knowledge
 * is that old when it reaches the other nodes, so it is below the age from which
 * they ask.
 */
export const KNOWLEDGE_RENEW_AGE_MS = 750;
/**
 * Longest random addition to that age, so that of several readers which renew
 * what is known at the same time only one goes on.
 */
export const KNOWLEDGE_RENEW_SPREAD_MS = 100;
/**
 * Age from which another reader takes over from one that does not renew what is
 * known. The difference covers the read and the messages that tell of it.
 */
export const KNOWLEDGE_TAKEOVER_AGE_MS = 950;
/** Longest random addition to that age, so that one reader takes over. */
export const KNOWLEDGE_TAKEOVER_SPREAD_MS = 300;
/** Time after which the next peer is asked if the first did not help. */
export const KNOWLEDGE_ASK_RETRY_MS = 200;
/**
 * Asks in quick succession. If none of these peers knows more, the platform is
 * out of reach for many, and the next asks wait for KNOWLEDGE_ASK_AGE_MS.
 */
export const KNOWLEDGE_QUICK_ASKS_MAX = 5;
/** Shortest time for which a node asks peers before it reads the platform. */
export const KNOWLEDGE_ASK_PATIENCE_MS = 300;
/**
 * Age from which a node reads the platform itself. With the spread and the time
 * of the read it is below the time in which a change must apply, 2 s on the
 * platforms that we know.
 */
export const KNOWLEDGE_READ_AGE_MS = 1_300;
/**
 * Longest random addition to that age. The first node to read tells its peers,
 * so that the nodes that lost their readers together do not all read.
 */
export const KNOWLEDGE_READ_SPREAD_MS = 350;
/** Time after its start at which a node that hears nothing reads itself. */
export const KNOWLEDGE_FIRST_READ_MS = 2_400;
/** Time before such a read is tried again; doubles with each failure. */
export const KNOWLEDGE_READ_RETRY_MS = 500;
/**
 * Longest time between two such reads that fail. A platform that works again
 * must be noticed before it counts as stable and a change must apply.
 */
export const KNOWLEDGE_READ_RETRY_MAX_MS = 4_000;
/** Nodes that draw the same sources in a large data centre, for each source. */
export const SOURCE_FANOUT = 32;
/** Time after its start for which a node only lists instances to find peers. */
export const UNLISTED_MAX_MS = 5_000;
/** Longest random delay before a node without peers queries the platform. */
export const BOOTSTRAP_JITTER_MS = 10_000;
/**
 * Time for which a node that said that it is leaving gets no calls. It refuses
 * them itself while it leaves, so an early try does no harm; a late one costs the
 * capacity of a node that has started again.
 */
export const LEAVING_FACT_TTL_MS = 10_000;

/** Time at a backend server's stated rate whose calls may be sent at once. */
export const RATE_BURST_MS = 250;
/**
 * Smallest rate that a gate keeps, in calls per second. A rate of 0 would never
 * be revised, since only answers revise it.
 */
export const RATE_MIN_PER_S = 0.5;
/** Maximum number of backend servers whose notices a node remembers. */
export const NOTICES_MAX = 4_096;
