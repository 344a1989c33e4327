/** The bundle: what operators say about callers, services and kinds. */

import type { PriorityOrder } from "@coltsfootdeal/policy";

/** A group of callers that share one account. */
export interface Account {
  readonly name: string;
  /** Caller names; a trailing `*` stands for any ending. */
  readonly callers: readonly string[];
  /** SHA-256 of the account's bearer token, in hex; none means no token. */
  readonly tokenSha256: string | undefined;
}

/** How a backend server takes and ends calls. */
export interface Service {
  readonly name: string;
  /** Calls that one backend server runs at once. */
  readonly slots: number;
  /** Connections that one backend server accepts. */
  readonly connections: number;
  /** Whether closing the connection cancels a call. */
  readonly cancellation: "close" | "none";
  /**
   * Whether it stops work at the deadline that it is given.
   * @default false
   */
  readonly keepsDeadlines?: boolean;
  /** Status and header with which it says that it did not run a call. */
  readonly shedStatus: number | undefined;
  readonly shedHeader: string | undefined;
  /** What orders its unprotected work. */
  readonly order: PriorityOrder;
  /** Path of its health page; answers 503 while it is leaving. */
  readonly healthPath: string | undefined;
}

/** A kind of work of one service. */
export interface Kind {
  readonly service: string;
  readonly name: string;
  /** 0 to 99, higher is more important. */
  readonly rank: number;
  /** Refused only after all unprotected work has been. */
  readonly protected: boolean;
  readonly idempotent: boolean;
  /** Deadline of calls that state none, in ms. */
  readonly deadlineMs: number;
  /** Worth of one answered call. */
  readonly weight: number;
  /** Guaranteed share of the slots, 0 to 1. */
  readonly floor: number;
  /** Retries of a call tree that begins with this kind. */
  readonly retryAllowance: number;
  /** Time within which an answer earns its full worth, in ms; none stated. */
  readonly objectiveMs?: number;
  readonly bodyMaxBytes: number;
}

/** Where a share of a route's calls goes. */
export interface RouteTarget {
  readonly service: string;
  /** Share of the calls, in relation to the other targets' weights. */
  readonly weight: number;
}

/** Plain HTTP requests that are calls of a kind, by host and path. */
export interface Route {
  /** Name of the kind, which each target service has. */
  readonly kind: string;
  readonly host: string;
  /** Begins and ends with a slash; the longest match counts. */
  readonly prefix: string;
  readonly targets: readonly RouteTarget[];
}

/** What callers on plain HTTP connections may send. */
export interface CallerLimits {
  readonly bodyMaxBytes: number;
  /** Time in which a request's headers must arrive. */
  readonly headersMs: number;
  /** Time for which a connection may stay idle. */
  readonly idleMs: number;
}

/** One version of one scope. */
export interface Bundle {
  /** `fleet`, or the name of a service. */
  readonly scope: string;
  readonly version: number;
  readonly note: string;
  readonly accounts: readonly Account[];
  readonly services: readonly Service[];
  readonly kinds: readonly Kind[];
  /** Routes for plain HTTP; none if callers use the own interface only. */
  readonly routes?: readonly Route[];
  readonly callerLimits?: CallerLimits;
}
