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

/**
 * Resolves after all sockets were read once more. A process that was held up
 * reads a request long after it was sent; only the read after it shows that its
 * client has disconnected meanwhile.
 */
export function waitForNextRead(): Promise<void> {
  // The first callback runs before the event loop polls, the second one after.
  return new Promise((resolve) => {
    setImmediate(() => setImmediate(resolve));
  });
}
