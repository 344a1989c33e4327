/**
 * Protocol between the ingress of one node and the gate of another. Messages
 * are framed on a persistent connection, so that a call takes two small frames
 * and a peer that stops answering is detected before its calls' deadlines.
 *
 * A frame is a length prefix and a msgpack array: the index of the message's
 * kind in MESSAGE_KINDS, then its fields by position.
 */

import { Buffer } from "node:buffer";
import type {
  BackendReport,
  Death,
  Outcome,
  RefusalReason,
  UnknownReason,
  UpstreamReport,
} from "@coltsfootdeal/policy";
import { Packr } from "msgpackr/pack";
import { err, ok, type Result } from "neverthrow";
import type { Answer } from "../answer.ts";
import type { GateCall } from "../gate/gate.ts";
import { createFieldReader, type FieldReader } from "./field_reader.ts";

/** Asks a gate to run a call. */
export interface RunMessage {
  readonly kind: "run";
  /** Unique on the connection; the reply carries the same id. */
  readonly id: number;
  readonly service: string;
  /**
   * Time until the deadline, in ms. Relative, because the clocks of different
   * nodes are not synchronized.
   */
  readonly remainingMs: number;
  readonly call: Omit<GateCall, "deadlineAt">;
  /**
   * Fleet bundle in force at the sender, as `version:digest@address`, where
   * `address` is the sender's control address. Empty if there is none.
   */
  readonly version: string;
}

/** Result of a call, and the state of the gate that handled it. */
export interface ReplyMessage {
  readonly kind: "reply";
  readonly id: number;
  readonly answer: Answer;
  /** Part of the call's retry allowance that nested calls did not use. */
  readonly unusedRetries: number;
  readonly report: UpstreamReport;
  readonly instance: string;
  readonly incarnation: string;
  /** The death of the backend server, if it died during the call. */
  readonly death: Death | undefined;
  /** What the gate knows of its backend server's notice, if anything. */
  readonly stated: BackendReport | undefined;
}

/** A message in either direction. */
export type LinkMessage =
  | RunMessage
  | ReplyMessage
  /** The ingress no longer waits for the call with this id. */
  | { readonly kind: "cancel"; readonly id: number }
  | { readonly kind: "ping" }
  | { readonly kind: "pong" };

/** Size of the length prefix of a frame. */
export const LENGTH_PREFIX_BYTES = 4;
/** Largest frame; fits the largest request body with its headers. */
export const FRAME_MAX_BYTES = 72 * 1024 * 1024;

/** A frame carries the index of its kind, so the order is part of the protocol. */
const MESSAGE_KINDS = ["run", "reply", "cancel", "ping", "pong"] as const;
const packr = new Packr({ useRecords: false });

function encodeOutcomeFields(outcome: Outcome): readonly unknown[] {
  switch (outcome.kind) {
    case "answered":
      return [outcome.kind, "", 0, false];
    case "failed":
      return [outcome.kind, "", 0, outcome.starved];
    case "unknown":
      return [outcome.kind, outcome.reason, 0, false];
    case "refused":
      return [outcome.kind, outcome.reason, outcome.retryAfterMs, false];
  }
}

/**
 * Reasons are not checked but passed on as they are: during a rolling upgrade,
 * a node of a later version may send ones that this version does not know.
 */
function readOutcome(reader: FieldReader): Outcome | undefined {
  const kind = reader.readString();
  const reason = reader.readString();
  const retryAfterMs = reader.readNumber();
  const starved = reader.readBoolean();
  switch (kind) {
    case "answered":
      return { kind };
    case "failed":
      return { kind, starved };
    case "unknown":
      return { kind, reason: reason as UnknownReason };
    case "refused":
      return { kind, reason: reason as RefusalReason, retryAfterMs };
    default:
      return undefined;
  }
}

function encodeBackendReport(
  report: BackendReport | undefined,
): readonly unknown[] | null {
  if (report === undefined) return null;
  const { id, startedAt, requestsPerS, leaving } = report;
  return [id, startedAt ?? null, requestsPerS ?? null, leaving];
}

function encodeFields(message: LinkMessage): readonly unknown[] {
  switch (message.kind) {
    case "run": {
      const { call } = message;
      const { method, path, headers, body } = call.payload;
      return [
        message.id,
        message.service,
        message.remainingMs,
        message.version,
        call.id,
        call.requestId,
        call.kind,
        call.level,
        call.weight,
        call.account,
        call.caller,
        call.retryAllowance,
        call.exclusive,
        method,
        path,
        headers,
        body,
        encodeBackendReport(call.remembered),
      ];
    }
    case "reply": {
      const { answer, report, death } = message;
      return [
        message.id,
        encodeOutcomeFields(answer.outcome),
        answer.status ?? 0,
        answer.headers,
        answer.body,
        message.unusedRetries,
        [
          report.inFlight,
          report.queued,
          report.limit,
          report.acceptLevel,
          report.leaving,
          report.slotMs ?? 0,
          report.usualMs ?? 0,
          report.nested ?? false,
        ],
        message.instance,
        message.incarnation,
        death === undefined ? null : [death.id, death.instance, death.digests],
        encodeBackendReport(message.stated),
      ];
    }
    case "cancel":
      return [message.id];
    case "ping":
    case "pong":
      return [];
  }
}

/** Encodes a message as a frame with its length prefix. */
export function encodeFrame(message: LinkMessage): Buffer {
  const kind = MESSAGE_KINDS.indexOf(message.kind);
  const packed = packr.pack([kind, ...encodeFields(message)]);
  const frame = Buffer.allocUnsafe(LENGTH_PREFIX_BYTES + packed.length);
  frame.writeUInt32BE(packed.length, 0);
  packed.copy(frame, LENGTH_PREFIX_BYTES);
  return frame;
}

function readBackendReport(reader: FieldReader): BackendReport | undefined {
  const fields = reader.readList();
  if (fields === undefined) return undefined;
  const id = fields.readString();
  const startedAt = fields.readOptionalNumber();
  const requestsPerS = fields.readOptionalNumber();
  return { id, startedAt, requestsPerS, leaving: fields.readBoolean() };
}

function readRun(reader: FieldReader): RunMessage {
  const id = reader.readNumber();
  const service = reader.readString();
  const remainingMs = reader.readNumber();
  const version = reader.readString();
  const call = {
    id: reader.readString(),
    requestId: reader.readString(),
    kind: reader.readString(),
    level: reader.readNumber(),
    weight: reader.readNumber(),
    account: reader.readString(),
    caller: reader.readString(),
    retryAllowance: reader.readNumber(),
    exclusive: reader.readBoolean(),
    payload: {
      method: reader.readString(),
      path: reader.readString(),
      headers: reader.readHeaders(),
      body: reader.readBytes(),
    },
    remembered: readBackendReport(reader),
  };
  return { kind: "run", id, service, remainingMs, version, call };
}

function readReport(reader: FieldReader): UpstreamReport {
  return {
    inFlight: reader.readNumber(),
    queued: reader.readNumber(),
    limit: reader.readNumber(),
    acceptLevel: reader.readNumber(),
    leaving: reader.readBoolean(),
    slotMs: reader.readNumber(),
    usualMs: reader.readNumber(),
    nested: reader.readBoolean(),
  };
}

function readDeath(reader: FieldReader): Death {
  const id = reader.readString();
  const instance = reader.readString();
  // Clocks of nodes differ; the receiver sets the time of the death itself.
  return { id, instance, at: 0, digests: reader.readStrings() };
}

function readReply(reader: FieldReader): ReplyMessage | undefined {
  const id = reader.readNumber();
  const outcomeReader = reader.readList();
  const outcome = outcomeReader && readOutcome(outcomeReader);
  const status = reader.readNumber();
  const headers = reader.readHeaders();
  const body = reader.readBytes();
  const unusedRetries = reader.readNumber();
  const reportReader = reader.readList();
  const report = reportReader && readReport(reportReader);
  const instance = reader.readString();
  const incarnation = reader.readString();
  const deathReader = reader.readList();
  const death = deathReader && readDeath(deathReader);
  const stated = readBackendReport(reader);
  if (outcome === undefined || report === undefined) return undefined;
  const answer: Answer = {
    outcome,
    status: status === 0 ? undefined : status,
    headers,
    body,
  };
  const sender = { instance, incarnation };
  return {
    kind: "reply",
    id,
    answer,
    unusedRetries,
    report,
    ...sender,
    death,
    stated,
  };
}

/** Decodes a frame without its length prefix; the error names the fault. */
export function decodeFrame(bytes: Uint8Array): Result<LinkMessage, string> {
  let decoded: unknown;
  try {
    decoded = packr.unpack(bytes);
  } catch {
    return err("frame is not valid msgpack");
  }
  if (!Array.isArray(decoded)) return err("frame is not a msgpack array");
  const [index, ...fields] = decoded;
  const kind = MESSAGE_KINDS[index as number];
  const reader = createFieldReader(fields);
  switch (kind) {
    case "run": {
      const run = readRun(reader);
      return reader.isValid() ? ok(run) : err("malformed run message");
    }
    case "reply": {
      const reply = readReply(reader);
      const valid = reply !== undefined && reader.isValid();
      return valid ? ok(reply) : err("malformed reply message");
    }
    case "cancel": {
      const id = reader.readNumber();
      return reader.isValid()
        ? ok({ kind, id })
        : err("malformed cancel message");
    }
    case "ping":
    case "pong":
      return ok({ kind });
    default:
      return err("unknown message kind");
  }
}
