/** Log lines of the gate for calls that it leaves without a good answer. */

import type { GateAction, GateLoad } from "@coltsfootdeal/policy";
import type { LogFields } from "../log.ts";
import type { RunResult } from "./backend_server.ts";
import type { GateCall } from "./gate.ts";

/** What a refusal was decided from. */
export interface RefusalInputs {
  readonly now: number;
  readonly load: GateLoad | undefined;
  readonly usualMs: number;
  readonly backend: string | undefined;
}

/** What is known of a run that has ended. */
export interface RunSummary {
  readonly now: number;
  readonly startedAt: number;
  /** Whether a call that it made was lost. */
  readonly callsLost: boolean;
  readonly backend: string | undefined;
}

/** Writes the lines. */
export interface GateLog {
  readonly refused: (
    call: GateCall,
    refusal: Extract<GateAction, { readonly kind: "refuse" }>,
    inputs: RefusalInputs,
  ) => void;
  /** Records the end of a run, unless it brought a good answer. */
  readonly ended: (call: GateCall, end: RunResult, facts: RunSummary) => void;
}

/** Creates a log over a sink of decisions. */
export function createGateLog(
  record: (event: string, fields: LogFields) => void,
): GateLog {
  return {
    refused: (call, { reason, retryAfterMs }, inputs) => {
      const { now, load, usualMs, backend } = inputs;
      record("gate.refused", {
        requestId: call.requestId,
        call: call.id,
        kind: call.kind,
        level: call.level,
        reason,
        retryAfterMs: Math.round(retryAfterMs),
        leftMs: Math.round(call.deadlineAt - now),
        inFlight: load?.inFlight,
        queued: load?.queued,
        limit: load?.limit,
        acceptLevel: load?.acceptLevel,
        usualMs: Math.round(usualMs),
        backend,
      });
    },
    ended: (call, end, { now, startedAt, callsLost, backend }) => {
      if (end.kind === "response" && end.status < 500) return;
      record("gate.run_failed", {
        requestId: call.requestId,
        call: call.id,
        kind: call.kind,
        end: end.kind,
        status: end.kind === "response" ? end.status : undefined,
        ranMs: Math.round(now - startedAt),
        leftMs: Math.round(call.deadlineAt - now),
        callsLost,
        backend,
      });
    },
  };
}
