/** A stand-in for the platform: values and instances to read and watch. */

import type { IncomingMessage, ServerResponse } from "node:http";
import { getRequestListener, type HttpBindings } from "@hono/node-server";
import { type Context, Hono } from "hono";
import { type HttpServer, serveHttp } from "./http_server.ts";

/** An instance as the list shows it. */
export interface Instance {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly control: string;
  readonly state: "live" | "leaving" | "gone";
}

/** How the platform behaves. */
export type PlatformMode =
  | { readonly kind: "up" }
  /** Answers with what it held when it became stale. */
  | { readonly kind: "stale" }
  /** Closes connections without an answer. */
  | { readonly kind: "down" };

/** A platform under the control of a test. */
export interface Platform {
  readonly address: string;
  readonly publish: (key: string, value: string) => void;
  readonly putInstance: (instance: Instance) => void;
  readonly setMode: (mode: PlatformMode) => void;
  /** Calls taken so far; a waiting watch counts as one. */
  readonly calls: () => number;
  readonly close: () => Promise<void>;
}

/** Options of the stand-in. */
export interface PlatformOptions {
  /**
   * Port on 127.0.0.1; 0 takes a free one.
   * @default 0
   */
  readonly port?: number;
  /**
   * Time by which the instance list lags, in ms.
   * @default 0
   */
  readonly listLagMs?: number;
}

interface Item {
  readonly key: string;
  readonly revision: number;
  readonly content: object;
}

interface Collection {
  readonly items: Map<string, Item>;
  readonly waiting: Set<() => void>;
  revision: number;
}

function createCollection(): Collection {
  return { items: new Map(), waiting: new Set(), revision: 0 };
}

function put(collection: Collection, key: string, content: object): void {
  collection.revision++;
  const { revision } = collection;
  collection.items.set(key, { key, revision, content });
  for (const wake of [...collection.waiting]) wake();
}

function copyOf(collection: Collection): Collection {
  return {
    ...createCollection(),
    ...collection,
    items: new Map(collection.items),
  };
}

/** Starts a platform on loopback. */
export async function startPlatform(
  options: PlatformOptions = {},
): Promise<Platform> {
  const values = createCollection();
  const instances = createCollection();
  const timers = new Set<ReturnType<typeof setTimeout>>();
  let mode: PlatformMode = { kind: "up" };
  let frozen = { values, instances };
  let calls = 0;

  function waitForChange(collection: Collection, waitMs: number) {
    return new Promise<void>((resolve) => {
      const done = () => {
        clearTimeout(timer);
        timers.delete(timer);
        collection.waiting.delete(done);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      timers.add(timer);
      collection.waiting.add(done);
    });
  }

  async function changes(
    context: Context<{ Bindings: HttpBindings }>,
    name: "values" | "instances",
  ): Promise<Response> {
    calls++;
    const after = Number(context.req.query("after") ?? "0");
    const waitMs = Math.min(60_000, Number(context.req.query("wait_ms") ?? 0));
    const prefix = context.req.query("prefix") ?? "";
    const current = () =>
      (mode.kind === "stale" ? frozen : { values, instances })[name];
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
  app.get("/v1/values", (context) => changes(context, "values"));
  app.get("/v1/instances", (context) => changes(context, "instances"));
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
    publish: (key, value) => put(values, key, { value }),
    putInstance: (instance) => {
      const apply = () => put(instances, instance.id, instance);
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
        frozen = { values: copyOf(values), instances: copyOf(instances) };
      }
      mode = next;
    },
    calls: () => calls,
    close: async () => {
      for (const timer of timers) clearTimeout(timer);
      for (const { waiting } of [values, instances]) {
        for (const wake of [...waiting]) wake();
      }
      await server.close();
    },
  };
}
