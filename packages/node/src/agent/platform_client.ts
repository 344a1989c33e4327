/** Read-only client of the platform's HTTP interface. */

import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import type { HttpClient } from "../http_client.ts";
import { type Address, formatAddress } from "../settings.ts";
import type { PlatformInstance, PlatformValue } from "./feed.ts";

/** Items that changed after a revision, and the new revision. */
export interface PlatformChanges<Item> {
  readonly revision: number;
  readonly items: readonly Item[];
}

/** Why a read failed. */
export type PlatformError = "unreachable" | "malformed";

/** Which changes a read returns. */
export interface WatchQuery {
  /** Last known revision; 0 reads everything. */
  readonly after: number;
  /** Longest time in ms that the platform waits for a change. */
  readonly waitMs: number;
}

/** Long-polling reads of the configuration values and the instance list. */
export interface PlatformClient {
  readonly values: (
    query: WatchQuery,
    signal: AbortSignal,
  ) => Promise<Result<PlatformChanges<PlatformValue>, PlatformError>>;
  readonly instances: (
    query: WatchQuery,
    signal: AbortSignal,
  ) => Promise<Result<PlatformChanges<PlatformInstance>, PlatformError>>;
}

const VALUES_SCHEMA = z.object({
  revision: z.number(),
  items: z.array(z.object({
    key: z.string(),
    revision: z.number(),
    value: z.string(),
  })),
});

const INSTANCES_SCHEMA = z.object({
  revision: z.number(),
  items: z.array(z.object({
    id: z.string(),
    service: z.string(),
    dataCentre: z.string(),
    address: z.string(),
    control: z.string(),
    state: z.enum(["live", "leaving", "gone"]),
    revision: z.number(),
  })),
});

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Time beyond the wait after which a read fails. */
const REPLY_GRACE_MS = 5_000;

/** Creates a client of the platform at `address`. */
export function createPlatformClient(
  address: Address,
  client: HttpClient,
): PlatformClient {
  const origin = `http://${formatAddress(address)}`;

  async function get<Schema extends z.ZodType>(
    path: string,
    schema: Schema,
    options: { readonly signal: AbortSignal; readonly timeoutMs: number },
  ): Promise<Result<z.output<Schema>, PlatformError>> {
    const timeout = AbortSignal.timeout(options.timeoutMs);
    const signal = AbortSignal.any([options.signal, timeout]);
    const end = await client.send({ origin, path, method: "GET", signal });
    if (end.kind !== "response" || end.status !== 200) {
      return err("unreachable");
    }
    const parsed = schema.safeParse(parseJson(end.body.toString("utf8")));
    return parsed.success ? ok(parsed.data) : err("malformed");
  }

  function query({ after, waitMs }: WatchQuery): string {
    return `after=${after}&wait_ms=${waitMs}`;
  }

  return {
    values: (watch, signal) =>
      get(`/v1/values?prefix=bundles/&${query(watch)}`, VALUES_SCHEMA, {
        signal,
        timeoutMs: watch.waitMs + REPLY_GRACE_MS,
      }),
    instances: (watch, signal) =>
      get(`/v1/instances?${query(watch)}`, INSTANCES_SCHEMA, {
        signal,
        timeoutMs: watch.waitMs + REPLY_GRACE_MS,
      }),
  };
}
