import { Buffer } from "node:buffer";
import { expect, test } from "vitest";
import { createPlatformClient } from "../platform_client.ts";

const INSTANCE = {
  id: "i-1",
  service: "seals",
  dataCentre: "east",
  address: "10.0.0.1:1",
  control: "10.0.0.1:2",
  state: "live",
  revision: 3,
};

/** Reads instances from a platform whose list has these items. */
async function readInstances(items: readonly unknown[]) {
  const malformed: string[] = [];
  const body = Buffer.from(JSON.stringify({ revision: 9, items }));
  const client = createPlatformClient({ host: "10.0.0.9", port: 1 }, {
    send: () =>
      Promise.resolve({ kind: "response", status: 200, headers: {}, body }),
    close: () => Promise.resolve(),
  }, { onMalformedItem: (reason) => malformed.push(reason) });
  const query = { after: 0, waitMs: 0 };
  const read = await client.instances(query, new AbortController().signal);
  return { ids: read._unsafeUnwrap().items.map(({ id }) => id), malformed };
}

test.each([
  ["a missing field", { ...INSTANCE, service: undefined }],
  ["an unknown state", { ...INSTANCE, state: "asleep" }],
  ["a port out of range", { ...INSTANCE, address: "10.0.0.1:99999" }],
  ["no port", { ...INSTANCE, control: "10.0.0.1" }],
  ["a revision too large", { ...INSTANCE, revision: 1e300 }],
  ["no fields", null],
])("an instance with %s holds back no others", async (_title, odd) => {
  const { ids, malformed } = await readInstances([odd, INSTANCE]);
  expect(ids).toEqual(["i-1"]);
  expect(malformed).toHaveLength(1);
  expect(malformed[0]).not.toBe("");
});
