/** A stand-in of a client: HTTP/1.1 over kept connections. */

import { Agent, request } from "node:http";

/** Creates a client of the nodes of a fleet. */
export function createClient(fleet, { record }) {
  const agent = new Agent({ keepAlive: true });
  let sent = 0;

  /** Sends one request; resolves to its id, status and headers. */
  function send(machine, { path, method = "GET", body = "", quiet = false }) {
    sent++;
    const id = `request-${sent}`;
    const headers = {
      host: "app.example",
      "x-request-id": id,
      "x-request-deadline": "6000",
      "content-length": String(body.length),
    };
    if (!quiet) record(`client: sends ${id} ${method} ${path}`);
    return new Promise((resolve) => {
      function finish(status, answer) {
        if (!quiet) record(`client: ${id} is answered ${status}`);
        resolve({ id, status, headers: answer?.headers ?? {} });
      }
      const call = request({
        agent,
        host: machine.ip,
        port: fleet.port.outbound,
        path,
        method,
        headers,
      }, (answer) => {
        answer.resume();
        answer.once("end", () => finish(answer.statusCode, answer));
        answer.once("error", () => finish(0));
      });
      call.once("error", () => finish(0));
      call.end(body);
    });
  }

  return { send, close: () => agent.destroy() };
}
