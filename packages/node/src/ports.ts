/**
 * What a node needs from the platform that it runs on. The own interface and
 * each adapter provide these; all decisions and all state stay in the node.
 */

import type { IncomingMessage } from "node:http";
import type { Result } from "neverthrow";
import type { BundleValidator } from "./agent/bundle_store.ts";
import type { Feed, FeedSinks } from "./agent/feed.ts";
import type { Answer } from "./answer.ts";
import type { BackendServer } from "./gate/backend_server.ts";
import type { HttpClient } from "./http_client.ts";
import type { HeaderFields } from "./payload.ts";
import type { Address } from "./settings.ts";

/** A request on a plain HTTP connection, without its body. */
export interface PlainRequest {
  /** The caller's own id of this attempt; opaque. */
  readonly id: string;
  readonly host: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Time for which the caller waits, in ms; undefined if it states none. */
  readonly deadlineMs: number | undefined;
  /** Headers that are passed on to the backend server. */
  readonly headers: HeaderFields;
}

/** What is wrong with a plain request. */
export interface PlainRequestFault {
  readonly status: 400 | 404 | 413;
  readonly message: string;
}

/** Status and headers of an answer on a plain connection. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: HeaderFields;
}

/** How plain HTTP requests and answers are written on the platform. */
export interface CallerProtocol {
  readonly decode: (
    incoming: IncomingMessage,
  ) => Result<PlainRequest, PlainRequestFault>;
  readonly encode: (answer: Answer, requestId: string) => AnswerHead;
}

/** The listener for plain HTTP requests of callers and the backend server. */
export interface CallerPort {
  readonly address: Address;
  readonly protocol: CallerProtocol;
}

/** Where the platform asks whether the node takes calls. */
export interface ReadinessPort {
  readonly address: Address;
  readonly path: string;
}

/** The platform, as a node sees it. */
export interface NodePorts {
  readonly openBundle: BundleValidator;
  readonly createFeed: (sinks: FeedSinks, client: HttpClient) => Feed;
  readonly createBackend: (client: HttpClient) => BackendServer;
  readonly callers?: CallerPort;
  readonly readiness?: ReadinessPort;
}
