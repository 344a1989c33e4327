/** Free ports for tests and demos. */

import { type HttpServer, serveHttp } from "./http_server.ts";

/** Finds `count` ports of 127.0.0.1 that are free at present. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const servers: HttpServer[] = [];
  for (let index = 0; index < count; index++) {
    servers.push(await serveHttp((_, response) => response.end(), 0));
  }
  for (const server of servers) await server.close();
  return servers.map(({ port }) => port);
}
