/**
 * Types of a bundle: the versioned configuration that operators publish about
 * callers, services and kinds of calls.
 */

import type { PriorityOrder } from "@coltsfootdeal/policy";

/** An account: a group of callers, and the token that they present. */
export interface Account {
  readonly name: string;
  /** Caller names; a trailing `*` matches any suffix. */
  readonly callers: readonly string[];
  /** SHA-256 of the account's bearer token, in hex; no token if undefined. */
  readonly tokenSha256: string | undefined;
}

/** A service: how its backend servers accept, cancel and refuse calls. */
export interface Service {
  readonly name: string;
  /** Calls that one backend server runs concurrently. */
  readonly slots: number;
  /** Concurrent connections that one backend server accepts. */
  readonly connections: number;
  /** How a call is cancelled: by closing its connection, or not at all. */
  readonly cancellation: "close" | "none";
  /**
   * Whether a backend server stops work at the deadline that it receives.
   * @default false
   */
  readonly keepsDeadlines?: boolean;
  /**
   * HTTP status of a response to a call that the backend server did not run;
   * set together with `shedHeader`.
   */
  readonly shedStatus: number | undefined;
  /** Header that such a response carries. */
  readonly shedHeader: string | undefined;
  /** Whether unprotected calls are prioritised by rank or by worth. */
  readonly order: PriorityOrder;
  /** Path of the health check; it answers 503 while the server is leaving. */
  readonly healthPath: string | undefined;
}

/** A kind of call to one service, with its priority and limits. */
export interface CallKind {
  readonly service: string;
  readonly name: string;
  /** From 0 to 99; higher is more important. */
  readonly rank: number;
  /**
   * Whether calls go before all unprotected ones. Queued unprotected calls are
   * evicted for them, and unprotected runs may be cancelled. On arrival they
   * are refused for overload only when no unprotected work can make way.
   */
  readonly protected: boolean;
  /** Whether running a call twice has the same effect as running it once. */
  readonly idempotent: boolean;
  /** Deadline of calls that carry none, in ms. */
  readonly deadlineMs: number;
  /** Worth of one answered call, relative to other kinds. */
  readonly weight: number;
  /**
   * Share of the gate's concurrency limit, 0 to 1, up to which calls of the kind
   * start before more important ones. Suspended after a protected call
   * was refused, and while queued ones would miss their deadlines.
   */
  readonly floor: number;
  /** Retries allowed in total in a call tree whose root is of this kind. */
  readonly retryAllowance: number;
  /**
   * Target latency in ms, within which an answer has its full worth; undefined
   * if there is no target. The lower it is, the more the choice of an upstream
   * depends on the upstream's run time.
   */
  readonly objectiveMs?: number;
  /** Largest request body. */
  readonly bodyMaxBytes: number;
}

/** A service that receives a share of a route's calls. */
export interface RouteTarget {
  readonly service: string;
  /** Share of the calls, relative to the weights of the other targets. */
  readonly weight: number;
}

/** Maps plain HTTP requests to a kind of call, by host and path prefix. */
export interface Route {
  /** Name of the kind; every target service must define it. */
  readonly kind: string;
  /** Host name that the request is sent to. */
  readonly host: string;
  /** Path prefix, with a slash at both ends; the longest match wins. */
  readonly prefix: string;
  readonly targets: readonly RouteTarget[];
}

/** Limits for callers that use plain HTTP. */
export interface CallerLimits {
  /** Largest request body. */
  readonly bodyMaxBytes: number;
  /** Time within which the headers of a request must arrive. */
  readonly headersMs: number;
  /** Time after which an idle connection is closed. */
  readonly idleMs: number;
}

/** One version of the configuration of one scope. */
export interface Bundle {
  /** `fleet` for all services, or the name of one service. */
  readonly scope: string;
  /** Increases with every published bundle of the scope. */
  readonly version: number;
  /** Free text by the operator. */
  readonly note: string;
  readonly accounts: readonly Account[];
  readonly services: readonly Service[];
  readonly kinds: readonly CallKind[];
  /** Routes for plain HTTP; none if all callers use `/v1/call/`. */
  readonly routes?: readonly Route[];
  readonly callerLimits?: CallerLimits;
}
