/**
 * Forwards calls to the home of their ticket: the node that issued it, which
 * alone knows whether the call has run.
 */

import { unknown } from "@coltsfootdeal/policy";
import { type Answer, createEmptyAnswer } from "../answer.ts";
import { HEADER, parseOutcome, parseWholeNumber } from "../headers.ts";
import type { HttpClient } from "../http_client.ts";
import { pickContentType } from "../payload.ts";
import type { BufferedRequest } from "./ingress.ts";

/** Resolved configuration of a home forwarder. */
export interface HomeForwarderConfig {
  readonly client: HttpClient;
  /** Data address of an instance; undefined if the instance is not known. */
  readonly addressOf: (instance: string) => string | undefined;
}

/** Forwards a call to the instance that issued its ticket. */
export type HomeForwarder = (
  home: string,
  buffered: BufferedRequest,
) => Promise<Answer>;

function createHeaders(buffered: BufferedRequest): Record<string, string> {
  const { request, payload } = buffered;
  return {
    ...payload.headers,
    [HEADER.account]: request.account,
    [HEADER.caller]: request.caller,
    [HEADER.deadline]: String(request.deadlineMs),
    [HEADER.ticket]: request.ticket ?? "",
    [HEADER.attempt]: request.resend ? "2" : "1",
    ...(request.authorization === ""
      ? {}
      : { authorization: request.authorization }),
  };
}

/** Creates a home forwarder. */
export function createHomeForwarder(
  config: HomeForwarderConfig,
): HomeForwarder {
  return async (home, buffered) => {
    const address = config.addressOf(home);
    // The home may have run the call before, so this is not a refusal.
    if (address === undefined) {
      return createEmptyAnswer(unknown("ticket_home_gone"));
    }
    const { request } = buffered;
    const end = await config.client.send({
      origin: `http://${address}`,
      path: `/v1/call/${request.service}/${request.kind.name}`,
      method: "POST",
      headers: createHeaders(buffered),
      body: buffered.payload.body,
      signal: AbortSignal.any([
        buffered.signal,
        AbortSignal.timeout(request.deadlineMs),
      ]),
    });
    if (end.kind !== "response") {
      const notSent = end.kind === "not_sent";
      const reason = notSent ? "ticket_home_gone" : "connection_lost";
      return createEmptyAnswer(unknown(reason));
    }
    // A refusal is passed on only if the home itself answered with it.
    return {
      outcome: parseOutcome(end.headers),
      status: parseWholeNumber(end.headers[HEADER.status]),
      headers: pickContentType(end.headers),
      body: end.body,
    };
  };
}
