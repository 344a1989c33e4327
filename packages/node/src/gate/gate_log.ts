/** Logs the calls that the admission policy refuses and the runs that fail. */

import type { GateAction, GateLoad } from "@coltsfootdeal/policy";
import type { LogFields } from "../log.ts";
import type { RunResult } from "./backend_server.ts";
import type { GateCall } from "./gate.ts";

/** State of the gate and time at which a call was refused. */
export interface RefusalInputs {
  readonly now: number;
  readonly load: GateLoad | undefined;
  /** Mean slot time of runs of the call's kind, in ms; 0 if unknown. */
  readonly usualMs: number;
  /** Rate that the backend server names; undefined for none. */
  readonly requestsPerS: number | undefined;
  /** Id of the backend server in the instance list. */
  readonly backend: string | undefined;
}

/** A run that has ended, apart from its result. */
export interface RunSummary {
  readonly now: number;
  readonly startedAt: number;
  /** Whether a nested call was refused, starved or not answered in time. */
  readonly callsLost: boolean;
  /** Id of the backend server in the instance list. */
  readonly backend: string | undefined;
}

/** Writes the gate's log events. */
export interface GateLog {
  /** Logs a refusal with the state that led to it. */
  readonly refused: (
    call: GateCall,
    refusal: Extract<GateAction, { readonly kind: "refuse" }>,
    inputs: RefusalInputs,
  ) => void;
  /** Logs a run that ended without a response or with a 5xx status. */
  readonly ended: (
    call: GateCall,
    result: RunResult,
    summary: RunSummary,
  ) => void;
}

/** Creates a log that passes its events to `record`. */
export function createGateLog(
  record: (event: string, fields: LogFields) => void,
): GateLog {
  return {
    refused: (call, { reason, retryAfterMs }, inputs) => {
      const { now, load, usualMs, requestsPerS, backend } = inputs;
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
        requestsPerS,
        backend,
      });
    },
    ended: (call, result, { now, startedAt, callsLost, backend }) => {
      if (result.kind === "response" && result.status < 500) return;
      record("gate.run_failed", {
        requestId: call.requestId,
        call: call.id,
        kind: call.kind,
        end: result.kind,
        status: result.kind === "response" ? result.status : undefined,
        ranMs: Math.round(now - startedAt),
        leftMs: Math.round(call.deadlineAt - now),
        callsLost,
        backend,
      });
    },
  };
}
