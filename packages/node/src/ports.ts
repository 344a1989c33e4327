/**
 * Interfaces between a node and the platform that it runs on. An adapter only
 * translates; all decisions and all state stay in the node.
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

/** A decoded HTTP request of a caller, without its body. */
export interface IncomingRequest {
  /** Opaque id that the caller gave this attempt. */
  readonly id: string;
  /** Host that the request is addressed to. */
  readonly host: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Time that the caller waits, in ms; undefined if the request has none. */
  readonly deadlineMs: number | undefined;
  /** Headers that are passed on to the backend server. */
  readonly headers: HeaderFields;
}

/** Why a request is invalid, and the HTTP status that says so. */
export interface IncomingRequestFault {
  readonly status: 400 | 404 | 413;
  readonly message: string;
}

/** Status and headers of an HTTP response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: HeaderFields;
}

/** Decodes the HTTP requests of callers and encodes the responses to them. */
export interface CallerProtocol {
  readonly decode: (
    incoming: IncomingMessage,
  ) => Result<IncomingRequest, IncomingRequestFault>;
  readonly encode: (answer: Answer, requestId: string) => ResponseHead;
}

/** Listener for HTTP requests of callers and of the backend server. */
export interface CallerListenerConfig {
  readonly address: Address;
  readonly protocol: CallerProtocol;
}

/** Listener for the platform's readiness probe. */
export interface ReadinessListenerConfig {
  readonly address: Address;
  readonly path: string;
}

/** What a node needs from its platform. */
export interface PlatformAdapter {
  /** Validates the text of a bundle and returns its content. */
  readonly openBundle: BundleValidator;
  /** Creates the feed of bundles and instances. */
  readonly createFeed: (sinks: FeedSinks, client: HttpClient) => Feed;
  /** Creates the client of the backend server beside the node. */
  readonly createBackend: (client: HttpClient) => BackendServer;
  /** Extra listener for callers, in the platform's own protocol. */
  readonly callers?: CallerListenerConfig;
  /** Extra listener for the platform's readiness probe. */
  readonly readiness?: ReadinessListenerConfig;
}
