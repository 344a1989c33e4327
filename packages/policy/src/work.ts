/** Work as a gate sees it. */

/** One call that asks for a slot of the backend server. */
export interface Work {
  /** Unique per attempt. */
  readonly id: string;
  /** Kind of work, as named in the bundle. */
  readonly kind: string;
  /** Importance; protected kinds are at PROTECTED_LEVEL and above. */
  readonly level: number;
  /** Account and caller, for fair shares. */
  readonly caller: string;
  /** Time after which the answer is of no use. */
  readonly deadlineAt: number;
  /** Whether a run may be cancelled in favour of more important work. */
  readonly cancellable: boolean;
  /**
   * Whether the backend server stops the run at its deadline by itself.
   * @default false
   */
  readonly stopsAtDeadline?: boolean;
  /** Whether the call must run with no other call beside it. */
  readonly exclusive: boolean;
}

/** What a gate has to do with a piece of work. */
export type GateAction =
  | { readonly kind: "run"; readonly work: Work }
  | {
    readonly kind: "refuse";
    readonly work: Work;
    readonly reason: "deadline" | "overload" | "evicted" | "leaving";
    readonly retryAfterMs: number;
  }
  | { readonly kind: "cancel"; readonly work: Work };
