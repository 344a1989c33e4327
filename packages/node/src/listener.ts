/** HTTP listeners that can close gracefully. */

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

/** An HTTP server that listens on an address. */
export interface Listener {
  readonly address: Address;
  readonly server: Server;
  /** Stops accepting connections and waits for the requests in flight. */
  readonly close: () => Promise<void>;
  /** Replaces the limits on clients. */
  readonly setLimits: (limits: ListenerLimits) => void;
  /** Destroys all connections, as if the process were killed. */
  readonly destroy: () => void;
}

/** Limits on the clients of a listener. */
export interface ListenerLimits {
  /** Timeout of receiving the headers of a request, in ms. */
  readonly headersMs: number;
  /** Idle time after which a connection is closed, in ms. */
  readonly idleMs: number;
}

/** An address can't be listened on; `message` has the cause. */
export interface ListenError {
  readonly kind: "listen";
  readonly address: Address;
  readonly message: string;
}

/** The open connections of a server. */
interface ConnectionTracker {
  /** Closes those without a request for CLOSE_IDLE_GRACE_MS. */
  readonly closeIdle: () => void;
}

/**
 * Tracks a server's connections. Node's server counts a connection that has not
 * carried a request yet as busy, so its `close` would wait for it.
 */
function trackConnections(server: Server): ConnectionTracker {
  /** Number of requests in flight by connection. */
  const requests = new Map<Socket, number>();
  const idleSince = new Map<Socket, number>();
  server.on("connection", (socket) => {
    requests.set(socket, 0);
    idleSince.set(socket, performance.now());
    socket.once("close", () => {
      requests.delete(socket);
      idleSince.delete(socket);
    });
  });
  server.on("request", ({ socket }, response) => {
    requests.set(socket, (requests.get(socket) ?? 0) + 1);
    response.once("close", () => {
      const count = requests.get(socket);
      if (count === undefined) return;
      requests.set(socket, count - 1);
      idleSince.set(socket, performance.now());
    });
  });
  return {
    closeIdle: () => {
      const latestIdleStart = performance.now() - CLOSE_IDLE_GRACE_MS;
      for (const [socket, count] of requests) {
        const graceElapsed = (idleSince.get(socket) ?? 0) <= latestIdleStart;
        if (count === 0 && graceElapsed) socket.destroySoon();
      }
    },
  };
}

function closeServer(
  server: Server,
  connections: ConnectionTracker,
): Promise<void> {
  return new Promise((resolve) => {
    // Also closes connections whose requests end later.
    const sweep = setInterval(connections.closeIdle, CLOSE_SWEEP_PERIOD_MS);
    server.close(() => {
      clearInterval(sweep);
      resolve();
    });
  });
}

/** Starts an HTTP server on an address; port 0 picks a free port. */
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
  const connections = trackConnections(server);
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
