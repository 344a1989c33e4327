/**
 * Policies of admission, routing, retries, tickets, membership and gossip. Free
 * of I/O, timers and clocks: time and randomness are passed as arguments.
 */

export * from "./admission.ts";
export * from "./adoption.ts";
export * from "./backoff.ts";
export * from "./constants.ts";
export * from "./dispatch.ts";
export * from "./freshness.ts";
export * from "./ledger.ts";
export * from "./level.ts";
export * from "./limit.ts";
export * from "./listed_entry.ts";
export * from "./membership.ts";
export * from "./nesting.ts";
export * from "./notice.ts";
export * from "./outcome.ts";
export * from "./pause.ts";
export * from "./random.ts";
export * from "./rate_limit.ts";
export * from "./readers.ts";
export * from "./retry_budget.ts";
export * from "./router.ts";
export * from "./running.ts";
export * from "./service_time.ts";
export * from "./spread.ts";
export * from "./subset.ts";
export * from "./suspects.ts";
export * from "./throttle.ts";
export * from "./tickets.ts";
export * from "./upstream.ts";
export * from "./work.ts";
export * from "./work_queue.ts";
