/** Calls the own backend server, as its contract in the bundle says. */

import type { Buffer } from "node:buffer";
import type { Service } from "@coltsfootdeal/bundle";
import { HEADER } from "../headers.ts";
import type { HttpClient } from "../http_client.ts";
import {
  type HeaderFields,
  type Payload,
  pickContentType,
} from "../payload.ts";
import { type Address, formatAddress } from "../settings.ts";

/** A call to be run. */
export interface BackendCall {
  readonly runId: string;
  /** Id of the backend server that is meant, where the list tells it. */
  readonly instance: string | undefined;
  readonly kind: string;
  /** Account and caller, as the backend server is told. */
  readonly account: string;
  readonly caller: string;
  readonly remainingMs: number;
  readonly payload: Payload;
  readonly signal: AbortSignal;
}

/** How a run ended. */
export type RunResult =
  | {
    readonly kind: "response";
    readonly status: number;
    readonly headers: HeaderFields;
    readonly body: Buffer;
  }
  /** The backend server states that it did not run the call. */
  | { readonly kind: "shed" }
  | { readonly kind: "not_sent" }
  | { readonly kind: "lost" }
  | { readonly kind: "truncated" }
  | { readonly kind: "cancelled" };

/** The own backend server. */
export interface BackendServer {
  readonly run: (call: BackendCall, contract: Service) => Promise<RunResult>;
  /** Whether its health page says that it is leaving. */
  readonly isLeaving: (contract: Service) => Promise<boolean>;
}

/** Creates a client of the backend server at `address`. */
export function createBackendServer(
  address: Address,
  client: HttpClient,
): BackendServer {
  const origin = `http://${formatAddress(address)}`;

  async function run(call: BackendCall, contract: Service): Promise<RunResult> {
    const { payload } = call;
    const end = await client.send({
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
    });
    switch (end.kind) {
      case "response": {
        const { status, body } = end;
        const marked = contract.shedHeader !== undefined &&
          contract.shedHeader in end.headers;
        if (marked && status === contract.shedStatus) return { kind: "shed" };
        const headers = pickContentType(end.headers);
        return { kind: "response", status, headers, body };
      }
      case "aborted":
        return { kind: "cancelled" };
      case "not_sent":
        return { kind: "not_sent" };
      case "lost":
      case "truncated":
        return { kind: end.kind };
    }
  }

  return {
    run,
    isLeaving: async (contract) => {
      if (contract.healthPath === undefined) return false;
      const end = await client.send({
        origin,
        path: contract.healthPath,
        method: "GET",
        signal: AbortSignal.timeout(1_000),
      });
      return end.kind === "response" && end.status === 503;
    },
  };
}
