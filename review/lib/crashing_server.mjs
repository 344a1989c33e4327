/**
 * A stand-in of an upstream as a process of its own, which one request crashes
 * while the answer to it is being written. Arguments: IP, port, id.
 */

import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import process from "node:process";

const WORK_MS = 20;
const BODY = Buffer.alloc(1_500, "a");
const CRASHES = process.env.CRASHES === "1";

const [ip, port, instance] = process.argv.slice(2);

const server = createServer(async (incoming, response) => {
  for await (const _ of incoming);
  if (incoming.headers["x-expected-instance"] !== instance) {
    response.writeHead(421, { "x-instance-id": instance });
    return response.end();
  }
  const id = incoming.headers["x-request-id"];
  const isFatal = incoming.url === "/read/fatal";
  process.send({ kind: "run", id, isFatal });
  setTimeout(() => {
    response.writeHead(200, {
      "x-request-id": id,
      "x-response-signature": `${instance}.${id}`,
      "content-length": BODY.length,
    });
    if (!isFatal || !CRASHES) return response.end(BODY);
    response.write(BODY.subarray(0, BODY.length / 2));
    setTimeout(() => process.exit(1), 5);
  }, WORK_MS);
});
server.keepAliveTimeout = 10_000;
server.listen(Number(port), ip, () => process.send({ kind: "up" }));
process.on("disconnect", () => process.exit(0));
