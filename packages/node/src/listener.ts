/** HTTP listeners and their orderly end. */

import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { err, ok, type Result } from "neverthrow";
import {
  HEADERS_TIMEOUT_MS,
  REQUEST_TIMEOUT_MS,
  SERVER_KEEP_ALIVE_MS,
} from "./constants.ts";
import type { Address } from "./settings.ts";

/** A listening socket. */
export interface Listener {
  readonly address: Address;
  /** Stops accepting and waits for what is in flight. */
  readonly close: () => Promise<void>;
  /** Cuts all connections, as when the process is killed. */
  readonly destroy: () => void;
}

/** Why an address could not be listened on. */
export interface ListenError {
  readonly kind: "listen";
  readonly address: Address;
  readonly message: string;
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    // Connections that become idle later are closed as they do.
    const sweep = setInterval(() => server.closeIdleConnections(), 20);
    server.close(() => {
      clearInterval(sweep);
      resolve();
    });
    server.closeIdleConnections();
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
  return new Promise((resolve) => {
    server.once("error", (error) => {
      resolve(err({ kind: "listen", address, message: error.message }));
    });
    server.listen(address.port, address.host, () => {
      const { port } = server.address() as AddressInfo;
      resolve(ok({
        address: { host: address.host, port },
        close: () => closeServer(server),
        destroy: () => {
          server.close();
          server.closeAllConnections();
        },
      }));
    });
  });
}
