/**
 * Loaded into a node's process before the program (`--import`). On SIGUSR2 it
 * silences the open outgoing connections to the ports that a file lists: they
 * carry nothing more, in either direction, and are not closed.
 */

import { readFileSync } from "node:fs";
import { Socket } from "node:net";
import process from "node:process";
import type { Duplex } from "node:stream";

/** Environment variable with the path of the file, a JSON array of ports. */
const PORTS_FILE_VARIABLE = "SOAK_SILENCE_PORTS";

/** What is not part of the public type of a socket. */
interface SocketInternals {
  readonly _handle?: { readonly readStop: () => void };
}

const open = new Set<Socket>();
const connect = Socket.prototype.connect;

Socket.prototype.connect = function (
  this: Socket,
  ...args: unknown[]
): Socket {
  open.add(this);
  this.once("close", () => open.delete(this));
  return Reflect.apply(connect, this, args);
};

function silence(socket: Socket & SocketInternals): void {
  const stream: Duplex = socket;
  stream._read = () => {};
  stream._write = (_chunk, _encoding, callback) => callback();
  stream._writev = (_chunks, callback) => callback();
  socket._handle?.readStop();
}

process.on("SIGUSR2", () => {
  const path = process.env[PORTS_FILE_VARIABLE];
  if (path === undefined) return;
  const ports: readonly number[] = JSON.parse(readFileSync(path, "utf8"));
  for (const socket of open) {
    if (!socket.connecting && ports.includes(socket.remotePort ?? 0)) {
      silence(socket);
    }
  }
});
