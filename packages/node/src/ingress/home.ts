/** Hands calls on to the home of their ticket. */

import { unknown } from "@coltsfootdeal/policy";
import { type Answer, bareAnswer } from "../answer.ts";
import { HEADER, parseOutcome, readWholeNumber } from "../headers.ts";
import type { HttpClient } from "../http_client.ts";
import { contentTypeOf } from "../payload.ts";
import type { WholeRequest } from "./ingress.ts";

/** Resolved configuration. */
export interface HomeForwarderConfig {
  readonly client: HttpClient;
  /** Data address of a known instance. */
  readonly addressOf: (instance: string) => string | undefined;
}

/** Hands a call on to the node that minted its ticket. */
export type HomeForwarder = (
  home: string,
  whole: WholeRequest,
) => Promise<Answer>;

function headersOf(whole: WholeRequest): Record<string, string> {
  const { request, payload } = whole;
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

/** Creates a forwarder to homes. */
export function createHomeForwarder(
  config: HomeForwarderConfig,
): HomeForwarder {
  return async (home, whole) => {
    const address = config.addressOf(home);
    // An earlier presentation may have been run by the home.
    if (address === undefined) return bareAnswer(unknown("ticket_home_gone"));
    const { request } = whole;
    const end = await config.client.send({
      origin: `http://${address}`,
      path: `/v1/call/${request.service}/${request.kind.name}`,
      method: "POST",
      headers: headersOf(whole),
      body: whole.payload.body,
      signal: AbortSignal.any([
        whole.signal,
        AbortSignal.timeout(request.deadlineMs),
      ]),
    });
    if (end.kind !== "response") {
      const gone = end.kind === "not_sent";
      const reason = gone ? "ticket_home_gone" : "connection_lost";
      return bareAnswer(unknown(reason));
    }
    // Only a refusal by the home itself is one.
    return {
      outcome: parseOutcome(end.headers),
      status: readWholeNumber(end.headers[HEADER.status]),
      headers: contentTypeOf(end.headers),
      body: end.body,
    };
  };
}
