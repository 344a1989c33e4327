/**
 * A stand-in for the platform: serves published values and the instance list,
 * each with long polling for changes.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { getRequestListener, type HttpBindings } from "@hono/node-server";
import { type Context, Hono } from "hono";
import { type HttpServer, serveHttp } from "./http_server.ts";

/** An entry of the instance list. */
export interface Instance {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly control: string;
  readonly state: "live" | "leaving" | "gone";
}

/** How the platform answers requests. */
export type PlatformMode =
  | { readonly kind: "up" }
  /** Answers from a snapshot taken when this mode was set. */
  | { readonly kind: "stale" }
  /** Closes connections without an answer. */
  | { readonly kind: "down" };

/** A platform under the control of a test. */
export interface Platform {
  readonly address: string;
  /** Sets a value, replacing any earlier one. */
  readonly publish: (key: string, value: string) => void;
  /** Adds or replaces an entry of the instance list, after the list's lag. */
  readonly putInstance: (instance: Instance) => void;
  readonly setMode: (mode: PlatformMode) => void;
  /** Requests received so far; a pending long poll counts as one. */
  readonly calls: () => number;
  readonly close: () => Promise<void>;
}

/** Options of {@link startPlatform}. */
export interface PlatformOptions {
  /**
   * Port on 127.0.0.1; 0 takes a free one.
   * @default 0
   */
  readonly port?: number;
  /**
   * Delay before a change appears in the instance list, in ms.
   * @default 0
   */
  readonly listLagMs?: number;
}

interface Item {
  readonly key: string;
  readonly revision: number;
  readonly content: object;
}

/** Items by key, the latest revision, and callbacks of pending long polls. */
interface Collection {
  readonly items: Map<string, Item>;
  readonly watchers: Set<() => void>;
  revision: number;
}

function createCollection(): Collection {
  return { items: new Map(), watchers: new Set(), revision: 0 };
}

function putItem(collection: Collection, key: string, content: object): void {
  collection.revision++;
  const { revision } = collection;
  collection.items.set(key, { key, revision, content });
  for (const notify of [...collection.watchers]) notify();
}

function copyCollection(collection: Collection): Collection {
  return {
    ...createCollection(),
    ...collection,
    items: new Map(collection.items),
  };
}

/** Starts a platform on loopback, without values or instances. */
export async function startPlatform(
  options: PlatformOptions = {},
): Promise<Platform> {
  const values = createCollection();
  const instances = createCollection();
  const timers = new Set<ReturnType<typeof setTimeout>>();
  let mode: PlatformMode = { kind: "up" };
  let staleSnapshot = { values, instances };
  let calls = 0;

  function waitForChange(collection: Collection, waitMs: number) {
    return new Promise<void>((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        timers.delete(timer);
        collection.watchers.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      timers.add(timer);
      collection.watchers.add(finish);
    });
  }

  async function answerChanges(
    context: Context<{ Bindings: HttpBindings }>,
    name: "values" | "instances",
  ): Promise<Response> {
    calls++;
    const after = Number(context.req.query("after") ?? "0");
    const waitMs = Math.min(60_000, Number(context.req.query("wait_ms") ?? 0));
    const prefix = context.req.query("prefix") ?? "";
    const current = () =>
      (mode.kind === "stale" ? staleSnapshot : { values, instances })[name];
    if (waitMs > 0 && current().revision <= after) {
      await waitForChange(current(), waitMs);
    }
    const { items, revision } = current();
    const changed = [...items.values()].filter((item) =>
      item.key.startsWith(prefix) && (item.revision > after)
    );
    return context.json({
      revision,
      items: changed.map((item) => ({
        key: item.key,
        revision: item.revision,
        ...item.content,
      })),
    });
  }

  const app = new Hono<{ Bindings: HttpBindings }>();
  app.get("/v1/values", (context) => answerChanges(context, "values"));
  app.get("/v1/instances", (context) => answerChanges(context, "instances"));
  const listener = getRequestListener(app.fetch);
  const server: HttpServer = await serveHttp(
    (request: IncomingMessage, response: ServerResponse) => {
      if (mode.kind === "down") {
        calls++;
        request.socket.destroy();
        return;
      }
      listener(request, response);
    },
    options.port ?? 0,
  );

  return {
    address: server.address,
    publish: (key, value) => putItem(values, key, { value }),
    putInstance: (instance) => {
      const apply = () => putItem(instances, instance.id, instance);
      const lagMs = options.listLagMs ?? 0;
      if (lagMs === 0) return apply();
      const timer = setTimeout(() => {
        timers.delete(timer);
        apply();
      }, lagMs);
      timers.add(timer);
    },
    setMode: (next) => {
      if (next.kind === "stale") {
        staleSnapshot = {
          values: copyCollection(values),
          instances: copyCollection(instances),
        };
      }
      mode = next;
    },
    calls: () => calls,
    close: async () => {
      for (const timer of timers) clearTimeout(timer);
      for (const { watchers } of [values, instances]) {
        for (const notify of [...watchers]) notify();
      }
      await server.close();
    },
  };
}
