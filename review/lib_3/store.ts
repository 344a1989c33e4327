/** Stand-in of the platform's store: items, lists and watches. */

import { createServer, type ServerResponse } from "node:http";
import { Buffer } from "node:buffer";

interface Item {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly created_revision: number;
  readonly lease_id: number;
}

interface Event {
  readonly key: string;
  readonly revision: number;
}

/** A store that answers reads as the platform's pages say. */
export interface Store {
  readonly put: (key: string, value: unknown) => number;
  readonly remove: (key: string) => void;
  readonly close: () => void;
}

/** Starts a store; it keeps its whole history. */
export async function startStore(host: string, port: number): Promise<Store> {
  const items = new Map<string, Item>();
  const events: Event[] = [];
  const waiting = new Set<() => void>();
  let at = 100;

  function answer(response: ServerResponse, body: unknown): void {
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
  }

  function wake(): void {
    for (const check of [...waiting]) check();
  }

  const server = createServer((request, response) => {
    const url = new URL(request.url ?? "/", "http://store");
    const prefix = url.searchParams.get("prefix") ?? "";
    const after = url.searchParams.get("after") ?? "";
    if (url.pathname === "/kv-range") {
      const listed = [...items.values()].filter(({ key }) =>
        key.startsWith(prefix) && key > after
      ).sort((a, b) => a.key < b.key ? -1 : 1);
      answer(response, { items: listed, has_more: false, at });
      return;
    }
    if (url.pathname !== "/kv-watch") {
      response.writeHead(404).end();
      return;
    }
    const timer = setTimeout(
      () => check(true),
      Number(url.searchParams.get("wait_ms") ?? "0"),
    );
    function check(isOver = false): void {
      const found = events.filter(({ key, revision }) =>
        key.startsWith(prefix) && revision > Number(after)
      );
      if (found.length === 0 && !isOver) return;
      clearTimeout(timer);
      waiting.delete(check);
      answer(response, { events: found, at });
    }
    waiting.add(check);
    response.on("close", () => {
      clearTimeout(timer);
      waiting.delete(check);
    });
    check();
  });
  await new Promise<void>((resolve) => server.listen(port, host, resolve));
  return {
    put: (key, value) => {
      at++;
      const text = Buffer.from(JSON.stringify(value)).toString("base64");
      const created_revision = items.get(key)?.created_revision ?? at;
      const item = { key, value: text, revision: at, created_revision };
      items.set(key, { ...item, lease_id: 0 });
      events.push({ ...item, lease_id: 0 } as Item);
      wake();
      return at;
    },
    remove: (key) => {
      at++;
      items.delete(key);
      events.push({ key, revision: at, tombstone: true } as Event);
      wake();
    },
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
