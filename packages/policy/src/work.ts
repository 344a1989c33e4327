/** Work as seen by an admission gate. */

/** One attempt of a call that requests a slot of the backend server. */
export interface Work {
  /** Unique per attempt. */
  readonly id: string;
  /** Kind of work, as named in the bundle. */
  readonly kind: string;
  /** Priority level; protected work has PROTECTED_LEVEL or above. */
  readonly level: number;
  /** Key of account and caller, for fairness among callers. */
  readonly caller: string;
  /** Deadline; later answers are useless to the caller. */
  readonly deadlineAt: number;
  /** Whether a run may be cancelled, for example for more important work. */
  readonly cancellable: boolean;
  /**
   * Whether the backend server stops the run at its deadline by itself.
   * @default false
   */
  readonly stopsAtDeadline?: boolean;
  /** Whether the call must run with no other call at the same time. */
  readonly exclusive: boolean;
}

/** Action that the gate performs on a piece of work. */
export type GateAction =
  | { readonly kind: "run"; readonly work: Work }
  | {
    readonly kind: "refuse";
    readonly work: Work;
    readonly reason: "deadline" | "overload" | "evicted" | "leaving";
    readonly retryAfterMs: number;
  }
  | { readonly kind: "cancel"; readonly work: Work };
