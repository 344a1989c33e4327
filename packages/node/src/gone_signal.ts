/** Detects that the connection of a request closed too early. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Requests of each connection whose responses are not fully written. */
const unanswered = new WeakMap<Socket, Set<AbortController>>();

/**
 * Returns the unanswered requests of a connection, which are aborted when it
 * closes. The response of a pipelined request has no `close` event before its
 * turn, so the connection itself is watched.
 */
function unansweredOn(socket: Socket): Set<AbortController> {
  const known = unanswered.get(socket);
  if (known !== undefined) return known;
  const requests = new Set<AbortController>();
  unanswered.set(socket, requests);
  socket.once("close", () => {
    for (const abort of requests) abort.abort();
  });
  return requests;
}

/**
 * Creates a signal that aborts if the connection closes before the response is
 * fully written, whichever side closed it.
 */
export function createDisconnectSignal(
  incoming: IncomingMessage,
  outgoing: ServerResponse,
): AbortSignal {
  const abort = new AbortController();
  const requests = unansweredOn(incoming.socket);
  requests.add(abort);
  outgoing.once("finish", () => requests.delete(abort));
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
