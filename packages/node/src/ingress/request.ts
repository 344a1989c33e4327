/** Validation of a caller's request against the bundle in force. */

import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import {
  admitsCaller,
  type CallKind,
  type Catalog,
} from "@coltsfootdeal/bundle";
import { err, ok, type Result } from "neverthrow";
import { HEADER, parseWholeNumber } from "../headers.ts";
import type { Payload } from "../payload.ts";

/** Why a request is invalid, and the HTTP status of the response. */
export interface RequestError {
  readonly status: 400 | 401 | 404 | 409 | 413;
  readonly message: string;
}

/** A validated request without its body. */
export interface CallerRequest {
  /** Id that the caller chose; opaque, only logged. */
  readonly requestId: string;
  readonly service: string;
  readonly kind: CallKind;
  readonly account: string;
  readonly caller: string;
  /** Remaining time in ms, limited to the deadline of the kind. */
  readonly deadlineMs: number;
  /** Remaining time in ms that the caller stated, before the limit. */
  readonly requestedDeadlineMs?: number;
  /** Ticket of a call that must not run twice. */
  readonly ticket: string | undefined;
  /** Id of the run that makes this call, from the request's headers. */
  readonly parentRunId: string | undefined;
  /** Whether the caller has sent this request before. */
  readonly resend: boolean;
  /** The authorization header, passed on to the node that issued the ticket. */
  readonly authorization: string;
}

/** Service and kind that a request calls. */
export interface CallTarget {
  readonly service: string;
  readonly kind: string;
}

/** A caller whose token matches the bundle. */
export interface AuthenticatedCaller {
  readonly account: string;
  readonly caller: string;
}

function firstValue(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

/** Checks the account, caller and token of a request. */
export function authenticateCaller(
  headers: IncomingHttpHeaders,
  catalog: Catalog,
): Result<AuthenticatedCaller, RequestError> {
  const accountName = firstValue(headers[HEADER.account]) ?? "";
  const name = firstValue(headers[HEADER.caller]) ?? "";
  const account = catalog.account(accountName);
  const token = (headers.authorization ?? "").replace(/^Bearer /, "");
  if (account === undefined || !admitsCaller(account, { name, token })) {
    return err({
      status: 401,
      message: `${HEADER.account}, ${HEADER.caller} and token: ` +
        "expected a caller of an account in the bundle",
    });
  }
  return ok({ account: accountName, caller: name });
}

/** Validates the headers of a request and looks up its kind. */
export function resolveRequest(
  headers: IncomingHttpHeaders,
  target: CallTarget,
  options: { readonly catalog: Catalog },
): Result<CallerRequest, RequestError> {
  const caller = authenticateCaller(headers, options.catalog);
  if (caller.isErr()) return err(caller.error);
  const kind = options.catalog.kind(target.service, target.kind);
  if (kind === undefined) {
    const message = `${target.service}/${target.kind}: ` +
      "expected a kind of work in the bundle";
    return err({ status: 404, message });
  }
  const requestedMs = parseWholeNumber(firstValue(headers[HEADER.deadline]));
  if (requestedMs === undefined || requestedMs === 0) {
    const message = `${HEADER.deadline}: expected the remaining time in ms`;
    return err({ status: 400, message });
  }
  const ticket = firstValue(headers[HEADER.ticket]);
  if (!kind.idempotent && ticket === undefined) {
    const message = `${HEADER.ticket}: expected a ticket, since ` +
      `${target.service}/${target.kind} must not run twice`;
    return err({ status: 400, message });
  }
  return ok({
    requestId: firstValue(headers[HEADER.request]) ?? "",
    service: target.service,
    kind,
    ...caller.value,
    deadlineMs: Math.min(requestedMs, kind.deadlineMs),
    ticket: kind.idempotent ? undefined : ticket,
    parentRunId: firstValue(headers[HEADER.parent]),
    resend: (parseWholeNumber(firstValue(headers[HEADER.attempt])) ?? 1) > 1,
    authorization: headers.authorization ?? "",
  });
}

/** Creates the HTTP request that the backend server receives. */
export function resolvePayload(
  headers: IncomingHttpHeaders,
  target: CallTarget,
  options: { readonly body: Buffer },
): Payload {
  const type = headers["content-type"] ?? "application/octet-stream";
  return {
    method: "POST",
    path: `/${target.kind}`,
    headers: { "content-type": type },
    body: options.body,
  };
}
