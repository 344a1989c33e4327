/** HTTP servers of the stand-ins. */

import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";

/** A listening server. */
export interface HttpServer {
  /** IP number and port. */
  readonly address: string;
  readonly port: number;
  /** Cuts all connections and stops listening. */
  readonly close: () => Promise<void>;
}

/** Listens on a port of 127.0.0.1; 0 takes a free one. */
export function serveHttp(
  handler: RequestListener,
  port: number,
): Promise<HttpServer> {
  const server = createServer({ keepAliveTimeout: 65_000 }, handler);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", () => {
      const bound = (server.address() as AddressInfo).port;
      resolve({
        address: `127.0.0.1:${bound}`,
        port: bound,
        close: () =>
          new Promise((done) => {
            server.close(() => done());
            server.closeAllConnections();
          }),
      });
    });
  });
}
