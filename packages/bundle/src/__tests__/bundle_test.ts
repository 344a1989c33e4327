import { Buffer } from "node:buffer";
import fc from "fast-check";
import { expect, test } from "vitest";
import { parseBundle } from "../check.ts";
import { diffBundles, formatChange } from "../diff.ts";
import {
  approveBundle,
  serializeEnvelope,
  verifyEnvelope,
} from "../envelope.ts";
import { formatFault } from "../fault.ts";
import { createKeyPair, parsePrivateKey, parsePublicKey } from "../keys.ts";

const VALID = `
[bundle]
scope = fleet
version = 7
[account:office]
callers = runner-*, desk
[service:seals]
slots = 4
connections = 50
[kind:seals/check]
rank = 80
protected = yes
idempotent = yes
deadline_ms = 500
weight = 2.5
`;

function faultsOf(text: string): readonly string[] {
  return parseBundle(text).match(() => [], (faults) => faults.map(formatFault));
}

test("a valid bundle is parsed", () => {
  const bundle = parseBundle(VALID)._unsafeUnwrap();
  expect(bundle).toMatchObject({ scope: "fleet", version: 7 });
  expect(bundle.kinds[0]).toMatchObject({ rank: 80, floor: 0, weight: 2.5 });
});

test("all faults are reported, with section, key and expected value", () => {
  const text = VALID.replace("slots = 4", "slots = many")
    .replace("rank = 80", "rank = 100")
    .replace("idempotent = yes", "idempotent = perhaps")
    .replace("version = 7", "version = 0\nversion = 1")
    .concat("[kind:seals]\n[colour:red]\n[kind:nowhere/x]\nnonsense\n");
  expect(faultsOf(text)).toMatchInlineSnapshot(`
    [
      "[bundle] version: expected to be given once",
      "[kind:nowhere/x] nonsense: expected a line key = value",
      "[service:seals] slots: expected a whole number from 1 to 10000, found "many"",
      "[kind:seals/check] rank: expected a whole number from 0 to 99, found "100"",
      "[kind:seals/check] idempotent: expected yes or no, found "perhaps"",
      "[kind:seals] (section): expected kind:SERVICE/KIND",
      "[colour:red] (section): expected bundle, account:NAME, service:NAME or kind:SERVICE/KIND",
      "[kind:nowhere/x] rank: expected a whole number from 0 to 99",
      "[kind:nowhere/x] idempotent: expected yes or no",
      "[kind:nowhere/x] deadline_ms: expected a whole number from 1 to 600000",
      "[kind:nowhere/x] weight: expected a number from 0 to 1000000",
      "[kind:nowhere/x] nonsense: expected a known key",
    ]
  `);
});

test("any text results in a bundle or faults, never an exception", () => {
  fc.assert(fc.property(fc.string(), fc.nat(VALID.length), (noise, at) => {
    const text = VALID.slice(0, at) + noise + VALID.slice(at);
    const result = parseBundle(text);
    if (result.isErr()) expect(result.error.length).toBeGreaterThan(0);
  }));
});

test("an envelope with any byte changed is not accepted as another bundle", () => {
  const pair = createKeyPair();
  const key = parsePrivateKey(pair.privateKeyPem)._unsafeUnwrap();
  const keys = [parsePublicKey(pair.publicKeyBase64)._unsafeUnwrap()];
  const envelope = serializeEnvelope(VALID, [approveBundle(VALID, key)]);
  const trust = { keys, approvalsRequired: 1 };
  const original = verifyEnvelope(envelope, trust)._unsafeUnwrap();
  fc.assert(fc.property(
    fc.nat(envelope.length - 1),
    fc.integer({ min: 1, max: 127 }),
    (at, flip) => {
      const bytes = Buffer.from(envelope);
      bytes[at] = (bytes[at] ?? 0) ^ flip;
      const opened = verifyEnvelope(bytes.toString("utf8"), trust);
      // Only bytes outside the signed text and the signature may differ.
      if (opened.isOk()) expect(opened.value.digest).toBe(original.digest);
    },
  ));
});

test("approvals by one key count once", () => {
  const pair = createKeyPair();
  const key = parsePrivateKey(pair.privateKeyPem)._unsafeUnwrap();
  const keys = [parsePublicKey(pair.publicKeyBase64)._unsafeUnwrap()];
  const approval = approveBundle(VALID, key);
  const envelope = serializeEnvelope(VALID, [approval, approval]);
  const opened = verifyEnvelope(envelope, { keys, approvalsRequired: 2 });
  expect(opened._unsafeUnwrapErr()).toEqual({
    kind: "untrusted",
    valid: 1,
    required: 2,
  });
});

test("an envelope above the platform's size limit is rejected", () => {
  const opened = verifyEnvelope("x".repeat(1_000_001), {
    keys: [],
    approvalsRequired: 1,
  });
  expect(opened._unsafeUnwrapErr().kind).toBe("too_large");
});

test("a diff lists all changes and marks the risky ones", () => {
  const before = parseBundle(VALID)._unsafeUnwrap();
  const text = VALID.replace("protected = yes", "protected = no")
    .replace("version = 7", "version = 8")
    .concat("[account:second]\ncallers = *\n");
  const after = parseBundle(text)._unsafeUnwrap();
  expect(diffBundles(before, after).map(formatChange)).toEqual([
    "~ [bundle] version: 7 -> 8",
    "~ [kind:seals/check] protected: true -> false  (look twice)",
    "+ [account:second] (section)",
  ]);
});
