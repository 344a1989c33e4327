/** Outcomes of a call, as reported to the caller. */

/** Why a call was not run. */
export type RefusalReason =
  | "deadline"
  | "overload"
  | "displaced"
  | "evicted"
  | "leaving"
  | "unreachable"
  | "no_upstream"
  | "retry_budget"
  | "quarantined"
  | "shed"
  | "ticket_conflict"
  | "ticket_exhausted"
  | "not_ready"
  | "cancelled"
  | "invalid";

/** Why it is unknown whether a call was run. */
export type UnknownReason =
  | "connection_lost"
  | "truncated"
  | "deadline"
  | "cancelled"
  | "displaced"
  | "backend_died"
  | "ticket_expired"
  | "ticket_home_gone"
  | "ticket_invalid";

/**
 * The outcome of a call, without the body of the answer. A "refused" call was
 * certainly not run, an "unknown" one may have been run, and a "failed" one was
 * answered with an error by the backend server.
 */
export type Outcome =
  | { readonly kind: "answered" }
  | {
    readonly kind: "refused";
    readonly reason: RefusalReason;
    readonly retryAfterMs: number;
  }
  | { readonly kind: "unknown"; readonly reason: UnknownReason }
  | {
    readonly kind: "failed";
    /** Whether a nested call of its run was refused. */
    readonly starved: boolean;
  };

/** Creates the outcome of a call that was certainly not run. */
export function refused(reason: RefusalReason, retryAfterMs = 0): Outcome {
  return { kind: "refused", reason, retryAfterMs };
}

/** Creates the outcome of a call that may have been run. */
export function unknown(reason: UnknownReason): Outcome {
  return { kind: "unknown", reason };
}
