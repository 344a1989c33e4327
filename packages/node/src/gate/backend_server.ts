/**
 * HTTP client of the backend server beside this node. The service's entry in
 * the bundle defines how the backend server marks shed calls and reports its
 * health.
 */

import type { Buffer } from "node:buffer";
import type { Service } from "@coltsfootdeal/bundle";
import type { BackendNotice } from "@coltsfootdeal/policy";
import { HEADER } from "../headers.ts";
import type { HttpClient } from "../http_client.ts";
import {
  type HeaderFields,
  type Payload,
  pickContentType,
} from "../payload.ts";
import { type Address, formatAddress } from "../settings.ts";

/** A call to run on the backend server. */
export interface BackendCall {
  /**
   * Unique id of the run. In the native protocol it is sent in a header, and
   * the backend server sends it back on nested calls to name their parent run.
   */
  readonly runId: string;
  /** Id of the addressed backend server, if the instance list names one. */
  readonly instance: string | undefined;
  /** Kind of call, as named in the bundle. */
  readonly kind: string;
  /** Account of the caller; sent by the native protocol only. */
  readonly account: string;
  /** Name of the caller. */
  readonly caller: string;
  /** Time until the deadline, in ms; a negative one is sent as 0. */
  readonly remainingMs: number;
  readonly payload: Payload;
  readonly signal: AbortSignal;
  /**
   * Called with what the answer states about the backend server, before its
   * body has arrived. The native protocol states nothing.
   */
  readonly onNotice: (notice: BackendNotice) => void;
}

/** Result of a run. */
export type RunResult =
  | {
    readonly kind: "response";
    readonly status: number;
    readonly headers: HeaderFields;
    readonly body: Buffer;
  }
  /** The response states that the backend server did not run the call. */
  | { readonly kind: "shed" }
  /** No byte of the request was sent. */
  | { readonly kind: "not_sent" }
  /** The connection was lost before the response began. */
  | { readonly kind: "lost" }
  /** The response was incomplete or invalid. */
  | { readonly kind: "truncated" }
  /** The signal of the call was aborted. */
  | { readonly kind: "cancelled" };

/** The backend server beside this node. */
export interface BackendServer {
  readonly run: (call: BackendCall, service: Service) => Promise<RunResult>;
  /** Whether the health check answers 503: the server is shutting down. */
  readonly isLeaving: (service: Service) => Promise<boolean>;
}

/** Whether a response marks the call as shed, as the service's entry says. */
function isShed(
  status: number,
  headers: HeaderFields,
  { shedStatus, shedHeader }: Service,
): boolean {
  return shedHeader !== undefined && shedHeader in headers &&
    status === shedStatus;
}

/** Creates a client of the backend server at `address`. */
export function createBackendServer(
  address: Address,
  client: HttpClient,
): BackendServer {
  const origin = `http://${formatAddress(address)}`;

  async function run(call: BackendCall, service: Service): Promise<RunResult> {
    const { payload } = call;
    const result = await client.send({
      origin,
      path: payload.path,
      method: payload.method,
      headers: {
        ...payload.headers,
        [HEADER.call]: call.runId,
        [HEADER.deadline]: String(Math.max(0, Math.floor(call.remainingMs))),
        [HEADER.account]: call.account,
        [HEADER.caller]: call.caller,
      },
      body: payload.body,
      signal: call.signal,
      // A refusal that is written once more must not be read as the answer to a
      // later call.
      endsConnection: (status, headers) => isShed(status, headers, service),
    });
    switch (result.kind) {
      case "response": {
        const { status, body } = result;
        if (isShed(status, result.headers, service)) return { kind: "shed" };
        const headers = pickContentType(result.headers);
        return { kind: "response", status, headers, body };
      }
      case "aborted":
        return { kind: "cancelled" };
      case "not_sent":
        return { kind: "not_sent" };
      case "lost":
      case "truncated":
        return { kind: result.kind };
    }
  }

  return {
    run,
    isLeaving: async (service) => {
      if (service.healthPath === undefined) return false;
      const result = await client.send({
        origin,
        path: service.healthPath,
        method: "GET",
        signal: AbortSignal.timeout(1_000),
      });
      return result.kind === "response" && result.status === 503;
    },
  };
}
