/** Detects that the connection of a request closed too early. */

import type { ServerResponse } from "node:http";

/**
 * Creates a signal that aborts if the connection closes before the response is
 * fully written, whichever side closed it.
 */
export function createDisconnectSignal(outgoing: ServerResponse): AbortSignal {
  const abort = new AbortController();
  outgoing.once("close", () => {
    if (!outgoing.writableFinished) abort.abort();
  });
  return abort.signal;
}
