/** HTTP servers on loopback addresses, on which the stand-ins listen. */

import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";

/** Options of {@link serveHttp}. */
export interface ServeOptions {
  /**
   * Loopback address to listen on.
   * @default "127.0.0.1"
   */
  readonly host?: string;
  /**
   * Time after which an idle connection is closed, in ms.
   * @default 65000
   */
  readonly idleMs?: number;
  /**
   * Connections beyond which new ones are closed.
   * @default unlimited
   */
  readonly maxConnections?: number;
}

/** A listening server. */
export interface HttpServer {
  /** Bound address as `IP:PORT`. */
  readonly address: string;
  readonly port: number;
  /** Closes all connections and keeps listening. */
  readonly closeConnections: () => void;
  /** Stops listening and closes all connections. */
  readonly close: () => Promise<void>;
}

/**
 * Listens on a port of a loopback address; port 0 takes a free one. Rejects if
 * the port is in use.
 */
export function serveHttp(
  handler: RequestListener,
  port: number,
  options: ServeOptions = {},
): Promise<HttpServer> {
  const host = options.host ?? "127.0.0.1";
  const keepAliveTimeout = options.idleMs ?? 65_000;
  const server = createServer({ keepAliveTimeout }, handler);
  if (options.maxConnections) server.maxConnections = options.maxConnections;
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      const boundPort = (server.address() as AddressInfo).port;
      resolve({
        address: `${host}:${boundPort}`,
        port: boundPort,
        closeConnections: () => server.closeAllConnections(),
        close: () =>
          new Promise((resolveClosed) => {
            server.close(() => resolveClosed());
            server.closeAllConnections();
          }),
      });
    });
  });
}
