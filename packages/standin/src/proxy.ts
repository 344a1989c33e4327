/** A TCP proxy on loopback whose open connections can go silent. */

import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

/** A running proxy. */
export interface Proxy {
  /** Address that clients connect to. */
  readonly address: string;
  /**
   * Lets all open connections carry nothing more, in either direction, without
   * closing them. New ones work.
   */
  readonly silenceOpen: () => void;
  readonly close: () => void;
}

interface Connection {
  readonly near: Socket;
  readonly far: Socket;
  isSilent: boolean;
}

/** Starts a proxy on `host` in front of `target`, a host and a port. */
export async function startProxy(host: string, target: string): Promise<Proxy> {
  const separator = target.lastIndexOf(":");
  const targetHost = target.slice(0, separator);
  const targetPort = Number(target.slice(separator + 1));
  const connections = new Set<Connection>();

  function relay(connection: Connection, from: Socket, to: Socket): void {
    from.on("data", (bytes) => {
      if (!connection.isSilent) to.write(bytes);
    });
    // The other end is closed by the `close` event that follows.
    from.on("error", () => {});
    from.on("close", () => {
      connections.delete(connection);
      if (!connection.isSilent || from === connection.near) to.destroy();
    });
  }

  const server = createServer((near) => {
    const far = connect(targetPort, targetHost);
    const connection = { near, far, isSilent: false };
    connections.add(connection);
    relay(connection, near, far);
    relay(connection, far, near);
  });
  server.listen(0, host);
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return {
    address: `${host}:${port}`,
    silenceOpen: () => {
      for (const connection of connections) connection.isSilent = true;
    },
    close: () => {
      server.close();
      for (const { near, far } of connections) {
        near.destroy();
        far.destroy();
      }
    },
  };
}
