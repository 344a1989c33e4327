/** A stand-in of an upstream, as the pages describe a sound one. */

import { createServer } from "node:http";

/**
 * Starts an upstream. `run` handles a request that begins to run; it resolves
 * to `{ status, body, headers }`, or to undefined if it answers by itself.
 */
export async function startServer(machine, { record, run }) {
  let running = 0;
  const server = createServer(async (incoming, response) => {
    const chunks = [];
    for await (const chunk of incoming) chunks.push(chunk);
    const id = incoming.headers["x-request-id"];
    if (incoming.url === "/health") {
      response.writeHead(200, { "x-instance-id": machine.id });
      return response.end();
    }
    const expected = incoming.headers["x-expected-instance"];
    if (expected !== undefined && expected !== machine.id) {
      response.writeHead(421, { "x-instance-id": machine.id });
      return response.end();
    }
    running++;
    record(`${machine.id}: runs ${id} ${incoming.method} ${incoming.url}`);
    const answer = await run({ id, incoming, response });
    running--;
    if (answer === undefined) return;
    const { status = 200, body = `answer to ${id}`, headers = {} } = answer;
    record(`${machine.id}: answers ${id} with ${status}`);
    response.writeHead(status, {
      "x-request-id": id,
      "x-response-signature": `${machine.id}.${id}`,
      "content-length": body.length,
      ...headers,
    });
    response.end(body);
  });
  server.keepAliveTimeout = 10_000;
  server.on("clientError", (_error, socket) => socket.destroy());
  const { ip, port } = machine;
  await new Promise((resolve) => server.listen(port.application, ip, resolve));
  return {
    running: () => running,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
