/** A caller's request, checked and resolved against the bundle in force. */

import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import { admitsCaller, type Catalog, type Kind } from "@coltsfootdeal/bundle";
import { err, ok, type Result } from "neverthrow";
import { HEADER, readWholeNumber } from "../headers.ts";
import type { Payload } from "../payload.ts";

/** What is wrong with a request, and the status that says so. */
export interface RequestError {
  readonly status: 400 | 401 | 404 | 409 | 413;
  readonly message: string;
}

/** A request without its body. */
export interface CallerRequest {
  /** The caller's own id of the request, for logs; opaque. */
  readonly requestId: string;
  readonly service: string;
  readonly kind: Kind;
  readonly account: string;
  readonly caller: string;
  /** Remaining time, at most what the kind allows, in ms. */
  readonly deadlineMs: number;
  /** Remaining time as the caller stated it, in ms, if it did. */
  readonly requestedDeadlineMs?: number;
  readonly ticket: string | undefined;
  /** Id of the run that makes this call, as its node told it. */
  readonly parentRunId: string | undefined;
  readonly resend: boolean;
  /** The authorization header, for the home of a ticket. */
  readonly authorization: string;
}

/** Where a request goes. */
export interface Target {
  readonly service: string;
  readonly kind: string;
}

/** A caller that the bundle admits. */
export interface Bearer {
  readonly account: string;
  readonly caller: string;
}

function single(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

/** Checks account, caller and token. */
export function resolveBearer(
  headers: IncomingHttpHeaders,
  catalog: Catalog,
): Result<Bearer, RequestError> {
  const accountName = single(headers[HEADER.account]) ?? "";
  const name = single(headers[HEADER.caller]) ?? "";
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

/** Checks a request's headers. */
export function resolveRequest(
  headers: IncomingHttpHeaders,
  target: Target,
  options: { readonly catalog: Catalog },
): Result<CallerRequest, RequestError> {
  const bearer = resolveBearer(headers, options.catalog);
  if (bearer.isErr()) return err(bearer.error);
  const kind = options.catalog.kind(target.service, target.kind);
  if (kind === undefined) {
    const message = `${target.service}/${target.kind}: ` +
      "expected a kind of work in the bundle";
    return err({ status: 404, message });
  }
  const asked = readWholeNumber(single(headers[HEADER.deadline]));
  if (asked === undefined || asked === 0) {
    const message = `${HEADER.deadline}: expected the remaining time in ms`;
    return err({ status: 400, message });
  }
  const ticket = single(headers[HEADER.ticket]);
  if (!kind.idempotent && ticket === undefined) {
    const message = `${HEADER.ticket}: expected a ticket, since ` +
      `${target.service}/${target.kind} must not run twice`;
    return err({ status: 400, message });
  }
  return ok({
    requestId: single(headers[HEADER.request]) ?? "",
    service: target.service,
    kind,
    ...bearer.value,
    deadlineMs: Math.min(asked, kind.deadlineMs),
    ticket: kind.idempotent ? undefined : ticket,
    parentRunId: single(headers[HEADER.parent]),
    resend: (readWholeNumber(single(headers[HEADER.attempt])) ?? 1) > 1,
    authorization: headers.authorization ?? "",
  });
}

/** The request of a caller, as a backend server is sent it. */
export function payloadOf(
  headers: IncomingHttpHeaders,
  target: Target,
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
