/** Detects that the client of a request disconnected. */

import type { ServerResponse } from "node:http";

/** Creates a signal that aborts if the connection closes before the response. */
export function createDisconnectSignal(outgoing: ServerResponse): AbortSignal {
  const abort = new AbortController();
  outgoing.once("close", () => {
    if (!outgoing.writableFinished) abort.abort();
  });
  return abort.signal;
}
