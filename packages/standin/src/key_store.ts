/**
 * A stand-in for the platform's key-value store, with revisions, paged range
 * reads and long-polling watches. It can refuse, delay or lose requests, as the
 * real store does.
 */

import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { type HttpServer, serveHttp } from "./http_server.ts";

/** How an endpoint of the store treats requests. */
export type KeyValueStoreMode =
  | { readonly kind: "up" }
  /** Refuses with status 503 or 429, or by closing the connection. */
  | {
    readonly kind: "refuse";
    readonly how: "busy" | "too_many_requests" | "reset";
  }
  /** Accepts requests and never answers. */
  | { readonly kind: "silent" }
  /** Handles every request after a delay. */
  | { readonly kind: "slow"; readonly delayMs: number }
  /** Closes the connection without an answer, as `refuse` by `reset` does. */
  | { readonly kind: "lost" }
  /** Answers with a body that is not JSON. */
  | { readonly kind: "garbage" };

/** Options of {@link startKeyValueStore}. */
export interface KeyValueStoreOptions {
  /**
   * Loopback address that all endpoints listen on.
   * @default "127.0.0.1"
   */
  readonly host?: string;
  /**
   * Port of the first endpoint; 0 takes a free one.
   * @default 0
   */
  readonly port?: number;
  /**
   * Items in one page of a range read.
   * @default 500
   */
  readonly pageItems?: number;
}

/**
 * An address at which the store answers. Each has its own mode, so that a fault
 * can affect the clients of one machine only.
 */
export interface KeyValueStoreEndpoint {
  readonly address: string;
  /** Sets the mode; every mode but `up` also closes all connections. */
  readonly setMode: (mode: KeyValueStoreMode) => void;
  /** Requests received on this endpoint. */
  readonly calls: () => number;
}

/** A store under the control of a test. */
export interface KeyValueStore {
  /** Address of the first endpoint. */
  readonly address: string;
  /** Writes a value; text is stored as UTF-8. Returns the new revision. */
  readonly put: (key: string, value: string | Uint8Array) => number;
  /** Removes a key; watches see a tombstone. */
  readonly remove: (key: string) => void;
  /** Discards the history; a watch from an earlier revision gets 410. */
  readonly compact: () => void;
  /** Copies the present state. */
  readonly backup: () => KeyValueBackup;
  /**
   * Goes back to a copied state, and so to its revision. What was written since
   * is lost, and answers name the next era.
   */
  readonly restore: (backup: KeyValueBackup) => void;
  /** Range reads that allow stale data see no later state than the present. */
  readonly freezeStaleReads: () => void;
  /** Sets the mode of the first endpoint. */
  readonly setMode: (mode: KeyValueStoreMode) => void;
  /** Opens a further address of the same store, in mode `up`. */
  readonly addEndpoint: () => Promise<KeyValueStoreEndpoint>;
  /** Requests received on all endpoints. */
  readonly calls: () => number;
  readonly close: () => Promise<void>;
}

/** The state of a store at one time. */
export interface KeyValueBackup {
  readonly items: ReadonlyMap<string, KeyValueEntry>;
  readonly revision: number;
}

interface KeyValueEntry {
  readonly key: string;
  readonly revision: number;
  readonly created_revision?: number;
  readonly lease_id?: number;
  readonly value?: string;
  readonly tombstone?: true;
}

/** Starts an empty store on loopback. */
export async function startKeyValueStore(
  options: KeyValueStoreOptions = {},
): Promise<KeyValueStore> {
  const pageItems = options.pageItems ?? 500;
  const items = new Map<string, KeyValueEntry>();
  let frozen: ReturnType<typeof current> | undefined;
  const watchers = new Set<() => void>();
  const endpoints: HttpServer[] = [];
  let history: KeyValueEntry[] = [];
  let revision = 1;
  // The oldest revision that the history still holds.
  let minRevision = 1;
  let calls = 0;
  let era = 1;

  function current() {
    return { items: new Map(items), revision };
  }

  function appendEvent(entry: KeyValueEntry): void {
    history.push(entry);
    for (const notify of [...watchers]) notify();
  }

  function send(
    response: ServerResponse,
    status: number,
    body: object,
  ): void {
    const text = JSON.stringify(body);
    response.writeHead(status, {
      "content-type": "application/json",
      "store-era": String(era),
      "content-length": Buffer.byteLength(text),
    });
    response.end(text);
  }

  function answerRange(query: URLSearchParams, response: ServerResponse): void {
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after") ?? "";
    const allowsStale = query.get("allow_stale") === "1";
    const { items, revision } = allowsStale && frozen || current();
    const keys = [...items.keys()].sort().filter((key) =>
      key.startsWith(prefix) && key > after
    );
    const page = keys.slice(0, pageItems).map((key) => items.get(key));
    const has_more = keys.length > pageItems;
    send(response, 200, { items: page, has_more, at: revision });
  }

  function answerWatch(query: URLSearchParams, response: ServerResponse): void {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const waitMs = Math.min(30_000, Number(query.get("wait_ms")));
    const isUnknown = () => after + 1 < minRevision || after > revision;
    if (isUnknown()) return send(response, 410, {});
    const deadline = performance.now() + waitMs;

    function answerIfDue(): void {
      if (isUnknown()) return finish(() => send(response, 410, {}));
      const events = history.filter((entry) =>
        entry.revision > after && entry.key.startsWith(prefix)
      );
      const timedOut = performance.now() >= deadline - 1;
      if (events.length === 0 && !timedOut) return;
      finish(() => send(response, 200, { events, at: revision }));
    }

    function finish(reply: () => void): void {
      watchers.delete(answerIfDue);
      clearTimeout(timer);
      reply();
    }

    const timer = setTimeout(answerIfDue, waitMs);
    watchers.add(answerIfDue);
    response.once("close", () => {
      watchers.delete(answerIfDue);
      clearTimeout(timer);
    });
    answerIfDue();
  }

  function handleNormally(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const url = new URL(request.url ?? "/", "http://store");
    switch (url.pathname) {
      case "/kv-key": {
        const item = items.get(url.searchParams.get("key") ?? "");
        return send(response, item ? 200 : 404, { ...item, at: revision });
      }
      case "/kv-range":
        return answerRange(url.searchParams, response);
      case "/kv-watch":
        return answerWatch(url.searchParams, response);
      default:
        return send(response, 404, {});
    }
  }

  function handle(
    request: IncomingMessage,
    response: ServerResponse,
    mode: KeyValueStoreMode,
  ): void {
    calls++;
    switch (mode.kind) {
      case "up":
        return handleNormally(request, response);
      case "refuse":
        if (mode.how === "reset") {
          request.socket.destroy();
          return;
        }
        return send(response, mode.how === "busy" ? 503 : 429, {});
      case "silent":
        return;
      case "slow":
        setTimeout(() => handleNormally(request, response), mode.delayMs);
        return;
      case "lost":
        request.socket.destroy();
        return;
      case "garbage":
        response.end("<html>not the store</html>");
    }
  }

  async function addEndpoint(port = 0): Promise<KeyValueStoreEndpoint> {
    let mode: KeyValueStoreMode = { kind: "up" };
    let endpointCalls = 0;
    const server = await serveHttp(
      (request, response) => {
        endpointCalls++;
        handle(request, response, mode);
      },
      port,
      { host: options.host ?? "127.0.0.1" },
    );
    endpoints.push(server);
    return {
      address: server.address,
      setMode: (next) => {
        mode = next;
        if (next.kind !== "up") server.closeConnections();
      },
      calls: () => endpointCalls,
    };
  }

  const mainEndpoint = await addEndpoint(options.port);

  return {
    ...mainEndpoint,
    addEndpoint: () => addEndpoint(),
    put: (key, value) => {
      revision++;
      const created_revision = items.get(key)?.created_revision ?? revision;
      const bytes = Buffer.from(value as Uint8Array);
      const entry: KeyValueEntry = {
        key,
        value: bytes.toString("base64"),
        revision,
        created_revision,
        lease_id: 0,
      };
      items.set(key, entry);
      appendEvent(entry);
      return revision;
    },
    remove: (key) => {
      if (!items.delete(key)) return;
      revision++;
      appendEvent({ key, revision, tombstone: true });
    },
    compact: () => {
      history = [];
      minRevision = revision + 1;
      for (const notify of [...watchers]) notify();
    },
    backup: current,
    restore: (backup) => {
      items.clear();
      for (const [key, item] of backup.items) items.set(key, item);
      revision = backup.revision;
      history = history.filter((event) => event.revision <= revision);
      minRevision = Math.min(minRevision, revision + 1);
      era++;
      for (const notify of [...watchers]) notify();
    },
    freezeStaleReads: () => {
      frozen = current();
    },
    calls: () => calls,
    close: async () => {
      await Promise.all(endpoints.map((endpoint) => endpoint.close()));
    },
  };
}
