/** Client for the control listeners of other nodes. */

import type { ComparisonReply, News } from "@coltsfootdeal/policy";
import { Buffer } from "node:buffer";
import { createTRPCClient, httpLink } from "@trpc/client";
import { err, ok, type Result } from "neverthrow";
import { CONTROL_CLIENTS_MAX, CONTROL_TIMEOUT_MS } from "../constants.ts";
import type { HttpClient } from "../http_client.ts";
import type {
  ControlRouter,
  Identity,
  PlatformContact,
  PulledValue,
  SourcedComparison,
} from "./control_api.ts";

/** The node did not reply in time, or replied with an error. */
export interface ControlError {
  readonly kind: "unreachable";
  readonly address: string;
}

/** Sends control messages to the control listener at `address`. */
export interface ControlClient {
  readonly identity: (
    address: string,
  ) => Promise<Result<Identity, ControlError>>;
  readonly push: (
    address: string,
    news: readonly News[],
  ) => Promise<Result<void, ControlError>>;
  readonly inform: (
    address: string,
    news: readonly News[],
  ) => Promise<Result<void, ControlError>>;
  readonly compare: (
    address: string,
    comparison: SourcedComparison,
  ) => Promise<Result<ComparisonReply & PlatformContact, ControlError>>;
  readonly offer: (
    address: string,
    source: string,
  ) => Promise<Result<void, ControlError>>;
  readonly differing: (
    address: string,
    buckets: readonly number[],
  ) => Promise<Result<readonly News[], ControlError>>;
  readonly pull: (
    address: string,
    topics: readonly string[],
  ) => Promise<Result<readonly PulledValue[], ControlError>>;
}

type Fetch = NonNullable<
  Parameters<typeof httpLink<ControlRouter>>[0]["fetch"]
>;

/** Implements what tRPC uses of `fetch` with the node's HTTP client. */
function createFetch(client: HttpClient): Fetch {
  return async (url, init) => {
    const { origin, pathname, search } = new URL(String(url));
    const { method = "GET", body, signal } = init ?? {};
    const end = await client.send({
      origin,
      path: pathname + search,
      method,
      headers: { "content-type": "application/json" },
      ...(typeof body === "string" ? { body: Buffer.from(body) } : {}),
      ...(signal ? { signal: signal as AbortSignal } : {}),
    });
    if (end.kind !== "response") throw new Error(`${url}: ${end.kind}`);
    return {
      ok: end.status >= 200 && end.status < 300,
      status: end.status,
      json: () => Promise.resolve(JSON.parse(end.body.toString("utf8"))),
    };
  };
}

/** Creates a control client. */
export function createControlClient(client: HttpClient): ControlClient {
  const fetch = createFetch(client);

  function connect(address: string) {
    const link = httpLink({ url: `http://${address}`, fetch });
    return createTRPCClient<ControlRouter>({ links: [link] });
  }

  const clients = new Map<string, ReturnType<typeof connect>>();

  function getClient(address: string): ReturnType<typeof connect> {
    const existing = clients.get(address);
    if (existing) return existing;
    if (clients.size >= CONTROL_CLIENTS_MAX) clients.clear();
    const client = connect(address);
    clients.set(address, client);
    return client;
  }

  async function request<Value>(
    address: string,
    call: (
      client: ReturnType<typeof connect>,
      options: { readonly signal: AbortSignal },
    ) => Promise<Value>,
  ): Promise<Result<Value, ControlError>> {
    const signal = AbortSignal.timeout(CONTROL_TIMEOUT_MS);
    try {
      return ok(await call(getClient(address), { signal }));
    } catch {
      return err({ kind: "unreachable", address });
    }
  }

  return {
    identity: (address) =>
      request(
        address,
        (client, options) => client.identity.query(undefined, options),
      ),
    push: (address, news) =>
      request(
        address,
        (client, options) => client.push.mutate([...news], options),
      ),
    inform: (address, news) =>
      request(
        address,
        (client, options) => client.inform.mutate([...news], options),
      ),
    compare: (address, { recent, ...comparison }) =>
      request(
        address,
        (client, options) =>
          client.compare.mutate(
            { ...comparison, recent: [...recent] },
            options,
          ),
      ),
    offer: (address, source) =>
      request(
        address,
        (client, options) => client.offer.mutate({ source }, options),
      ),
    differing: (address, buckets) =>
      request(
        address,
        (client, options) => client.differing.mutate([...buckets], options),
      ),
    pull: (address, topics) =>
      request(
        address,
        (client, options) => client.pull.mutate([...topics], options),
      ),
  };
}
