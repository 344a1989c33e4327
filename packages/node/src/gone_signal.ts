/** Tells that the other end of a request has gone. */

import type { ServerResponse } from "node:http";

/** Aborted when the connection closes before the answer has been sent. */
export function createDisconnectSignal(outgoing: ServerResponse): AbortSignal {
  const abort = new AbortController();
  outgoing.once("close", () => {
    if (!outgoing.writableFinished) abort.abort();
  });
  return abort.signal;
}
