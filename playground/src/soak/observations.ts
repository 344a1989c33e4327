/** What callers, backend servers and the soak itself have seen. */

/** A request of a caller and how it ended; times are in ms. */
export interface CallerRecord {
  readonly id: string;
  /** Index of the machine that took it. */
  readonly member: number;
  readonly route: string;
  readonly idempotent: boolean;
  readonly sentAt: number;
  readonly endedAt: number;
  /** 0 if the connection failed or ended before a whole answer. */
  readonly status: number;
  /** Code of the error, if there was no whole answer. */
  readonly error: string;
  readonly body: string;
  readonly isSigned: boolean;
  /** Whether the answer named a rate. */
  readonly namesRate: boolean;
  /** Whether the answer stated that its backend server is leaving. */
  readonly statesLeaving: boolean;
}

/** A request that reached a backend server, run or not. */
export interface Arrival {
  readonly requestId: string;
  /** Id of the backend server at that time. */
  readonly backend: string;
  /** Index of the machine. */
  readonly member: number;
  readonly at: number;
}

/** A time span; `to` is Infinity while it lasts. */
export interface Span {
  readonly from: number;
  readonly to: number;
}

/** A disturbance of one machine's node. */
export interface NodeDisturbance extends Span {
  readonly member: number;
  readonly kind: "stop" | "kill" | "pause";
}

/** A backend server's statement of a rate. */
export interface RateSpan extends Span {
  readonly backend: string;
  readonly perS: number;
}

/** The time in which a backend server leaves. */
export interface LeavingSpan extends Span {
  readonly backend: string;
  /** Whether the store acknowledged it, as a drain or a removal. */
  readonly isListed: boolean;
}

/** A configuration that the store has acknowledged. */
export interface Publication {
  readonly version: number;
  readonly at: number;
}

/** Everything that was seen in one soak. */
export interface Observations {
  readonly requests: readonly CallerRecord[];
  readonly arrivals: readonly Arrival[];
  /** Ids of the requests that were run, one entry a run. */
  readonly runs: readonly string[];
  readonly disturbances: readonly NodeDisturbance[];
  readonly storeOutages: readonly Span[];
  /** When open connections of the nodes went silent. */
  readonly silences: readonly Span[];
  readonly rates: readonly RateSpan[];
  readonly leavings: readonly LeavingSpan[];
  readonly publications: readonly Publication[];
  /** Nodes that ended without a signal. */
  readonly unexpectedEnds: readonly string[];
  /** Nodes that did not end within their grace period. */
  readonly lateEnds: readonly string[];
  /** Time from which nothing is disturbed any more. */
  readonly calmFrom: number;
}
