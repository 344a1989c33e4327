/**
 * Callers of a soak. Each keeps its connections open and goes on using them
 * until the process at the other end is gone.
 */

import { Agent, request } from "node:http";
import { MESH_HOST } from "@coltsfootdeal/standin";
import type { PlatformMember } from "../platform_fleet.ts";
import type { CallerRecord } from "./observations.ts";

/** Callers' requests; the deadline that they state, in ms. */
const DEADLINE_MS = 2_500;
/** Time beyond the deadline after which a caller gives up. */
const GIVE_UP_MS = 1_500;
/**
 * Time after which an idle connection is not used again: four fifths of the
 * idle time after which a node closes it.
 */
const IDLE_MS = 4_000;
/** Pause after a refused connection. */
const RECONNECT_MS = 50;

/** A route that callers use. */
export interface SoakRoute {
  readonly name: string;
  readonly idempotent: boolean;
}

/** The callers of one machine. */
export interface Callers {
  /** Sends requests at an interval until `stop`. */
  readonly start: (routes: readonly SoakRoute[], intervalMs: number) => void;
  /** Sends one request. */
  readonly send: (route: SoakRoute) => Promise<CallerRecord>;
  /** Resolves when all requests have ended. */
  readonly stop: () => Promise<void>;
}

/** Creates the callers of a machine; `record` gets each ended request. */
export function createCallers(
  member: PlatformMember,
  index: number,
  record: (request: CallerRecord) => void,
): Callers {
  const agent = new Agent({ keepAlive: true, timeout: IDLE_MS });
  const pending = new Set<Promise<unknown>>();
  let sent = 0;
  let isStopped = false;

  function send(route: SoakRoute): Promise<CallerRecord> {
    const id = `${member.id}.${++sent}`;
    const sentAt = performance.now();
    const base = {
      id,
      member: index,
      route: route.name,
      idempotent: route.idempotent,
      sentAt,
    };
    const result = new Promise<CallerRecord>((resolve) => {
      const fail = (error: string) =>
        resolve({
          ...base,
          endedAt: performance.now(),
          status: 0,
          error,
          body: "",
          isSigned: false,
          namesRate: false,
          statesLeaving: false,
        });
      const outgoing = request({
        ...member.callers,
        agent,
        path: `/${route.name}/${id}`,
        method: route.idempotent ? "GET" : "POST",
        headers: {
          host: MESH_HOST,
          "x-request-id": id,
          "x-request-deadline": String(DEADLINE_MS),
        },
        signal: AbortSignal.timeout(DEADLINE_MS + GIVE_UP_MS),
      }, (incoming) => {
        let body = "";
        incoming.setEncoding("utf8");
        incoming.on("data", (text) => body += text);
        incoming.on("error", ({ code }: NodeJS.ErrnoException) => {
          fail(code ?? "error");
        });
        incoming.on("end", () => {
          const { headers, statusCode = 0 } = incoming;
          resolve({
            ...base,
            endedAt: performance.now(),
            status: statusCode,
            error: "",
            body,
            isSigned: headers["x-response-signature"] !== undefined,
            namesRate: headers["server-limit"] !== undefined,
            statesLeaving: headers["server-leaving"] !== undefined,
          });
        });
      });
      outgoing.on("error", ({ code, name }: NodeJS.ErrnoException) => {
        fail(code ?? name);
      });
      outgoing.end();
    });
    const recorded = result.then((request) => {
      record(request);
      pending.delete(recorded);
      return request;
    });
    pending.add(recorded);
    return recorded;
  }

  async function run(route: SoakRoute, intervalMs: number): Promise<void> {
    while (!isStopped) {
      // Requests overlap: a slow answer doesn't hold back the next request.
      const request = send(route);
      const pause = new Promise((resolve) => setTimeout(resolve, intervalMs));
      await pause;
      const settled = await Promise.race([request, Promise.resolve(undefined)]);
      if (settled?.error !== "ECONNREFUSED") continue;
      await new Promise((resolve) => setTimeout(resolve, RECONNECT_MS));
    }
  }

  return {
    start: (routes, intervalMs) => {
      for (const route of routes) run(route, intervalMs);
    },
    send,
    stop: async () => {
      isStopped = true;
      while (pending.size > 0) await Promise.all(pending);
      agent.destroy();
    },
  };
}
