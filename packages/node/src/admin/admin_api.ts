/** Routes of the admin listener: read-only pages for operators. */

import { Hono } from "hono";
import { parseWholeNumber } from "../headers.ts";
import type { Audit } from "./audit.ts";
import type { Metrics } from "./metrics.ts";

/** Whether the node takes calls, and if not, why. */
export type Readiness =
  | { readonly ready: true }
  | { readonly ready: false; readonly reason: string };

/** Sources of the admin listener's pages. */
export interface AdminSource {
  readonly audit: Audit;
  readonly metrics: Metrics;
  readonly readiness: () => Readiness;
  /** Content of `/status`, which must be serializable as JSON. */
  readonly status: () => object;
}

/** Creates the page at `path` that the platform polls for readiness. */
export function createReadinessApi(
  path: string,
  readiness: () => Readiness,
): Hono {
  const app = new Hono();
  app.get(path, (context) => {
    const current = readiness();
    return context.json(current, current.ready ? 200 : 503);
  });
  return app;
}

/** Creates the routes of the admin listener. */
export function createAdminApi(source: AdminSource): Hono {
  const app = new Hono();
  app.get("/healthz", (context) => context.json({ alive: true }));
  app.get("/readyz", (context) => {
    const readiness = source.readiness();
    return context.json(readiness, readiness.ready ? 200 : 503);
  });
  app.get("/status", (context) => context.json(source.status()));
  app.get("/metrics", async (context) => {
    context.header("content-type", source.metrics.contentType);
    return context.body(await source.metrics.text());
  });
  app.get("/audit", (context) => {
    const after = parseWholeNumber(context.req.query("after")) ?? 0;
    return context.json({ records: source.audit.after(after) });
  });
  app.all("*", (context) => {
    const paths = "/healthz, /readyz, /status, /metrics, /audit";
    const error = `expected GET on one of ${paths}`;
    return context.json({ error }, context.req.method === "GET" ? 404 : 405);
  });
  return app;
}
