/**
 * The protocol between ingresses and gates of different nodes: messages of a
 * connection that both ends keep, so that a call costs two small frames and a
 * silent peer is noticed before the deadlines of its calls.
 */

import { Buffer } from "node:buffer";
import type {
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

/** A call on its way to a gate. */
export interface RunMessage {
  readonly kind: "run";
  /** Unique on its connection. */
  readonly id: number;
  readonly service: string;
  /** Time that is left, in ms: clocks of different nodes are not compared. */
  readonly remainingMs: number;
  readonly call: Omit<GateCall, "deadlineAt">;
  /** Bundle version that the sender has in force. */
  readonly version: string;
}

/** What came of a call. */
export interface ReplyMessage {
  readonly kind: "reply";
  readonly id: number;
  readonly answer: Answer;
  readonly unusedRetries: number;
  readonly report: UpstreamReport;
  readonly instance: string;
  readonly incarnation: string;
  readonly death: Death | undefined;
}

/** A message of either end. */
export type LinkMessage =
  | RunMessage
  | ReplyMessage
  /** The caller of a call has gone. */
  | { readonly kind: "cancel"; readonly id: number }
  | { readonly kind: "ping" }
  | { readonly kind: "pong" };

/** Bytes of a frame's length field. */
export const LENGTH_PREFIX_BYTES = 4;
/** Largest frame: the largest body of a request and its headers. */
export const FRAME_MAX_BYTES = 72 * 1024 * 1024;

const KINDS = ["run", "reply", "cancel", "ping", "pong"] as const;
const packr = new Packr({ useRecords: false });

function outcomeFields(outcome: Outcome): readonly unknown[] {
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

/** Reasons of later versions, in a rolling upgrade, are passed on as they are. */
function outcomeOf(reader: FieldReader): Outcome | undefined {
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

function fieldsOf(message: LinkMessage): readonly unknown[] {
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
      ];
    }
    case "reply": {
      const { answer, report, death } = message;
      return [
        message.id,
        outcomeFields(answer.outcome),
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
      ];
    }
    case "cancel":
      return [message.id];
    case "ping":
    case "pong":
      return [];
  }
}

/** Writes a message with its length before it. */
export function encodeFrame(message: LinkMessage): Buffer {
  const kind = KINDS.indexOf(message.kind);
  const packed = packr.pack([kind, ...fieldsOf(message)]);
  const frame = Buffer.allocUnsafe(LENGTH_PREFIX_BYTES + packed.length);
  frame.writeUInt32BE(packed.length, 0);
  packed.copy(frame, LENGTH_PREFIX_BYTES);
  return frame;
}

function runOf(reader: FieldReader): RunMessage {
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
  };
  return { kind: "run", id, service, remainingMs, version, call };
}

function reportOf(reader: FieldReader): UpstreamReport {
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

function deathOf(reader: FieldReader): Death {
  const id = reader.readString();
  const instance = reader.readString();
  // The receiver counts from its own clock.
  return { id, instance, at: 0, digests: reader.readStrings() };
}

function replyOf(reader: FieldReader): ReplyMessage | undefined {
  const id = reader.readNumber();
  const stated = reader.readList();
  const outcome = stated && outcomeOf(stated);
  const status = reader.readNumber();
  const headers = reader.readHeaders();
  const body = reader.readBytes();
  const unspent = reader.readNumber();
  const load = reader.readList();
  const report = load && reportOf(load);
  const instance = reader.readString();
  const incarnation = reader.readString();
  const died = reader.readList();
  const death = died && deathOf(died);
  if (outcome === undefined || report === undefined) return undefined;
  const answer: Answer = {
    outcome,
    status: status === 0 ? undefined : status,
    headers,
    body,
  };
  const from = { instance, incarnation };
  return {
    kind: "reply",
    id,
    answer,
    unusedRetries: unspent,
    report,
    ...from,
    death,
  };
}

/** Reads the content of a frame; the error says what is wrong. */
export function decodeFrame(bytes: Uint8Array): Result<LinkMessage, string> {
  let raw: unknown;
  try {
    raw = packr.unpack(bytes);
  } catch {
    return err("not msgpack");
  }
  if (!Array.isArray(raw)) return err("not a message");
  const [index, ...fields] = raw;
  const kind = KINDS[index as number];
  const reader = createFieldReader(fields);
  switch (kind) {
    case "run": {
      const run = runOf(reader);
      return reader.isValid() ? ok(run) : err("malformed run");
    }
    case "reply": {
      const reply = replyOf(reader);
      const valid = reply !== undefined && reader.isValid();
      return valid ? ok(reply) : err("malformed reply");
    }
    case "cancel": {
      const id = reader.readNumber();
      return reader.isValid() ? ok({ kind, id }) : err("malformed cancel");
    }
    case "ping":
    case "pong":
      return ok({ kind });
    default:
      return err("unknown kind of message");
  }
}
