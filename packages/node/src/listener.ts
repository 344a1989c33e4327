/** HTTP listeners and their orderly end. */

import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { err, ok, type Result } from "neverthrow";
import {
  CLOSE_IDLE_GRACE_MS,
  CLOSE_SWEEP_PERIOD_MS,
  HEADERS_TIMEOUT_MS,
  REQUEST_TIMEOUT_MS,
  SERVER_KEEP_ALIVE_MS,
} from "./constants.ts";
import type { Address } from "./settings.ts";

/** A listening socket. */
export interface Listener {
  readonly address: Address;
  readonly server: Server;
  /** Stops accepting and waits for what is in flight. */
  readonly close: () => Promise<void>;
  /** Applies the limits of the bundle in force. */
  readonly setLimits: (limits: ListenerLimits) => void;
  /** Cuts all connections, as when the process is killed. */
  readonly destroy: () => void;
}

/** Limits on what clients of a listener may do. */
export interface ListenerLimits {
  /** Time in which a request's headers must arrive, in ms. */
  readonly headersMs: number;
  /** Time for which a connection may stay idle, in ms. */
  readonly idleMs: number;
}

/** Why an address could not be listened on. */
export interface ListenError {
  readonly kind: "listen";
  readonly address: Address;
  readonly message: string;
}

/** The connections of a server, and which of them carry a request. */
interface Connections {
  /** Closes those that carry none. */
  readonly closeUnused: () => void;
}

/**
 * Follows a server's connections. The server's own list takes a connection
 * that never carried a request for a busy one, and would wait for it.
 */
function followConnections(server: Server): Connections {
  const requests = new Map<Socket, number>();
  const quietSince = new Map<Socket, number>();
  server.on("connection", (socket) => {
    requests.set(socket, 0);
    quietSince.set(socket, performance.now());
    socket.once("close", () => {
      requests.delete(socket);
      quietSince.delete(socket);
    });
  });
  server.on("request", ({ socket }, response) => {
    requests.set(socket, (requests.get(socket) ?? 0) + 1);
    response.once("close", () => {
      const count = requests.get(socket);
      if (count === undefined) return;
      requests.set(socket, count - 1);
      quietSince.set(socket, performance.now());
    });
  });
  return {
    closeUnused: () => {
      const before = performance.now() - CLOSE_IDLE_GRACE_MS;
      for (const [socket, count] of requests) {
        const quiet = (quietSince.get(socket) ?? 0) <= before;
        if (count === 0 && quiet) socket.destroySoon();
      }
    },
  };
}

function closeServer(
  server: Server,
  connections: Connections,
): Promise<void> {
  return new Promise((resolve) => {
    // Connections that become idle later are closed as they do.
    const sweep = setInterval(connections.closeUnused, CLOSE_SWEEP_PERIOD_MS);
    server.close(() => {
      clearInterval(sweep);
      resolve();
    });
  });
}

/** Listens on an address; port 0 takes a free one. */
export function listen(
  handler: RequestListener,
  address: Address,
): Promise<Result<Listener, ListenError>> {
  const server = createServer({
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    keepAliveTimeout: SERVER_KEEP_ALIVE_MS,
    connectionsCheckingInterval: 1_000,
    noDelay: true,
  }, handler);
  const connections = followConnections(server);
  return new Promise((resolve) => {
    server.once("error", (error) => {
      resolve(err({ kind: "listen", address, message: error.message }));
    });
    server.listen(address.port, address.host, () => {
      const { port } = server.address() as AddressInfo;
      resolve(ok({
        address: { host: address.host, port },
        server,
        close: () => closeServer(server, connections),
        setLimits: ({ headersMs, idleMs }) => {
          server.headersTimeout = headersMs;
          server.keepAliveTimeout = idleMs;
        },
        destroy: () => {
          server.close();
          server.closeAllConnections();
        },
      }));
    });
  });
}
