/** Signed envelopes: the form in which bundles are published to nodes. */

import { Buffer } from "node:buffer";
import { createHash, sign, verify } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import type { Bundle } from "./bundle.ts";
import { parseBundle } from "./check.ts";
import { ENVELOPE_FORMAT, ENVELOPE_MAX_BYTES } from "./constants.ts";
import { type Fault, formatFault } from "./fault.ts";
import type { PrivateKey, PublicKey } from "./keys.ts";

/** One operator's signature of one bundle text. */
export interface Approval {
  /** Id of the signing key. */
  readonly keyId: string;
  /** Digest of the approved text, in hex. */
  readonly digest: string;
  /** Signature in base64. */
  readonly signature: string;
}

/** A verified envelope and the bundle that it contains. */
export interface Envelope {
  readonly bundle: Bundle;
  /** SHA-256 of the bundle's INI text, in hex. */
  readonly digest: string;
  /** Ids of the trusted keys whose signatures are valid. */
  readonly signers: readonly string[];
  /** The envelope as JSON, as it was received. */
  readonly text: string;
}

/** Why an envelope is rejected. */
export type EnvelopeError =
  | { readonly kind: "too_large"; readonly bytes: number }
  | { readonly kind: "malformed"; readonly message: string }
  | { readonly kind: "untrusted"; readonly valid: number; required: number }
  | { readonly kind: "invalid"; readonly faults: readonly Fault[] };

/** The keys that a verifier trusts, and how many of them must sign. */
export interface TrustPolicy {
  readonly keys: readonly PublicKey[];
  /** Number of distinct trusted keys that must have signed an envelope. */
  readonly approvalsRequired: number;
}

const APPROVAL_SCHEMA = z.object({
  keyId: z.string(),
  digest: z.string(),
  signature: z.string(),
});

const ENVELOPE_SCHEMA = z.object({
  format: z.literal(ENVELOPE_FORMAT),
  text: z.string(),
  approvals: z.array(APPROVAL_SCHEMA).max(64),
});

/** SHA-256 of a bundle's INI text, in hex. */
export function digestBundle(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

/** The signed bytes; the format name binds a signature to this format. */
function signedBytes(text: string): Buffer {
  return Buffer.from(`${ENVELOPE_FORMAT}\n${text}`);
}

/** Signs a bundle's INI text. */
export function approveBundle(text: string, key: PrivateKey): Approval {
  const signature = sign(null, signedBytes(text), key.key).toString("base64");
  return { keyId: key.id, digest: digestBundle(text), signature };
}

/** Parses an approval from JSON. */
export function parseApproval(json: string): Result<Approval, string> {
  const parsed = APPROVAL_SCHEMA.safeParse(parseJson(json));
  return parsed.success
    ? ok(parsed.data)
    : err("expected an approval: JSON with keyId, digest and signature");
}

/** Serializes a bundle's INI text and its approvals as JSON. */
export function serializeEnvelope(
  text: string,
  approvals: readonly Approval[],
): string {
  const envelope = { format: ENVELOPE_FORMAT, text, approvals };
  return `${JSON.stringify(envelope, null, 2)}\n`;
}

/** Parses JSON; undefined if it is malformed. */
function parseJson(json: string): unknown {
  try {
    return JSON.parse(json);
  } catch {
    return undefined;
  }
}

/** Ids of the trusted keys with a valid signature; each key counts once. */
function findValidSigners(
  text: string,
  approvals: readonly Approval[],
  options: { readonly trust: TrustPolicy },
): readonly string[] {
  const bytes = signedBytes(text);
  const signers = new Set<string>();
  for (const approval of approvals) {
    const key = options.trust.keys.find(({ id }) => id === approval.keyId);
    if (key === undefined) continue;
    const signature = Buffer.from(approval.signature, "base64");
    if (verify(null, bytes, key.key, signature)) signers.add(key.id);
  }
  return [...signers];
}

/**
 * Verifies the signatures of an envelope, then parses its bundle. The bundle's
 * text is not parsed before enough signatures are valid.
 */
export function verifyEnvelope(
  json: string,
  trust: TrustPolicy,
): Result<Envelope, EnvelopeError> {
  const bytes = Buffer.byteLength(json);
  if (bytes > ENVELOPE_MAX_BYTES) return err({ kind: "too_large", bytes });
  const parsed = ENVELOPE_SCHEMA.safeParse(parseJson(json));
  if (!parsed.success) {
    const message = `expected an envelope of format ${ENVELOPE_FORMAT}`;
    return err({ kind: "malformed", message });
  }
  const { text, approvals } = parsed.data;
  const signers = findValidSigners(text, approvals, { trust });
  if (signers.length < trust.approvalsRequired) {
    const required = trust.approvalsRequired;
    return err({ kind: "untrusted", valid: signers.length, required });
  }
  return parseBundle(text)
    .map((bundle) => ({
      bundle,
      digest: digestBundle(text),
      signers,
      text: json,
    }))
    .mapErr((faults) => ({ kind: "invalid", faults }));
}

/** Formats an error as one line. */
export function formatEnvelopeError(error: EnvelopeError): string {
  switch (error.kind) {
    case "too_large":
      return `envelope of ${error.bytes} bytes, ` +
        `expected at most ${ENVELOPE_MAX_BYTES}`;
    case "malformed":
      return error.message;
    case "untrusted":
      return `${error.valid} valid signatures by trusted keys, ` +
        `expected ${error.required}`;
    case "invalid":
      return error.faults.map(formatFault).join("; ");
  }
}
