/** Read-only client of the platform's HTTP interface. */

import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import type { HttpClient } from "../http_client.ts";
import { type Address, formatAddress, parseAddress } from "../settings.ts";
import type { PlatformInstance, PlatformValue } from "./feed.ts";
import type { Position } from "./position.ts";

/** Items that changed after a revision, and the new position. */
export interface PlatformChanges<Item> {
  readonly position: Position;
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

/** Items are checked one by one, so that one of them holds back no others. */
const CHANGES_SCHEMA = z.object({
  // Absent on a platform that never came back from a backup.
  era: z.int().nonnegative().default(0),
  revision: z.int().nonnegative(),
  items: z.array(z.unknown()),
});

const VALUE_SCHEMA = z.object({
  key: z.string(),
  revision: z.number(),
  value: z.string(),
});

const PORT_MAX = 65_535;

/** Whether a text is `HOST:PORT` with a port that can be connected to. */
function isAddress(text: string): boolean {
  const { host, port } = parseAddress(text);
  return host !== "" && Number.isInteger(port) && port >= 1 && port <= PORT_MAX;
}

const INSTANCE_SCHEMA = z.object({
  id: z.string(),
  service: z.string(),
  dataCentre: z.string(),
  address: z.string().refine(isAddress, "HOST:PORT"),
  control: z.string().refine(isAddress, "HOST:PORT"),
  state: z.enum(["live", "leaving", "gone"]),
  revision: z.int().nonnegative(),
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
  options: {
    /** Called with each item that is left out because it is not valid. */
    readonly onMalformedItem: (reason: string) => void;
  },
): PlatformClient {
  const origin = `http://${formatAddress(address)}`;

  function readItems<Schema extends z.ZodType>(
    items: readonly unknown[],
    schema: Schema,
  ): readonly z.output<Schema>[] {
    return items.flatMap((item) => {
      const parsed = schema.safeParse(item);
      if (parsed.success) return [parsed.data];
      const [issue] = parsed.error.issues;
      options.onMalformedItem(`${issue?.path.join(".")}: ${issue?.message}`);
      return [];
    });
  }

  async function get<Schema extends z.ZodType>(
    path: string,
    itemSchema: Schema,
    options: { readonly signal: AbortSignal; readonly timeoutMs: number },
  ): Promise<Result<PlatformChanges<z.output<Schema>>, PlatformError>> {
    const timeout = AbortSignal.timeout(options.timeoutMs);
    const signal = AbortSignal.any([options.signal, timeout]);
    const end = await client.send({
      origin,
      path,
      method: "GET",
      signal,
      closesConnection: true,
    });
    if (end.kind !== "response" || end.status !== 200) {
      return err("unreachable");
    }
    const parsed = CHANGES_SCHEMA.safeParse(
      parseJson(end.body.toString("utf8")),
    );
    if (!parsed.success) return err("malformed");
    const { era, revision, items } = parsed.data;
    return ok({
      position: { era, revision },
      items: readItems(items, itemSchema),
    });
  }

  function query({ after, waitMs }: WatchQuery): string {
    return `after=${after}&wait_ms=${waitMs}`;
  }

  return {
    values: (watch, signal) =>
      get(`/v1/values?prefix=bundles/&${query(watch)}`, VALUE_SCHEMA, {
        signal,
        timeoutMs: watch.waitMs + REPLY_GRACE_MS,
      }),
    instances: (watch, signal) =>
      get(`/v1/instances?${query(watch)}`, INSTANCE_SCHEMA, {
        signal,
        timeoutMs: watch.waitMs + REPLY_GRACE_MS,
      }),
  };
}
