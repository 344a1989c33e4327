/** Types that the ingress, gate and node of the simulation share. */

import type {
  Admission,
  AttemptEnd,
  Death,
  Outcome,
  Router,
  Suspects,
  Work,
} from "@coltsfootdeal/policy";
import type { FakeBackend, RunCounts } from "./fake_backend.ts";
import type { RandomSource } from "./random.ts";
import type { Timeline } from "./timeline.ts";
import type { Variant } from "./variants.ts";
import type { CallTree, Workload } from "./workload.ts";

/** Attributes of a request that do not depend on its call tree. */
export interface RequestAttributes {
  /** Id of the request, shared by its resends. */
  readonly rootId: string;
  /** Id of one sending; a call that must not run twice uses `rootId`. */
  readonly requestId: string;
  readonly caller: string;
  /** Whether the caller has sent the request before. */
  readonly resend: boolean;
  /** Whether the request crashes each backend server that runs it. */
  readonly poison: boolean;
  /** Whether the last call of the chain fails. */
  readonly failing: boolean;
}

/** A call that a node receives at its ingress. */
export interface SimulatedCall extends RequestAttributes {
  /** The call with its nested calls. */
  readonly tree: CallTree;
  /**
   * Priority level of the run that makes the call; undefined for a caller's
   * request. Higher is more important.
   */
  readonly parentLevel: number | undefined;
  /** Weight of the request in the goodput. */
  readonly weight: number;
  readonly deadlineAt: number;
  /** Retries that the call and its nested calls may use together. */
  readonly retryAllowance: number;
}

/** The result of a call. */
export interface SimulatedResult {
  readonly outcome: Outcome;
  /**
   * Root id that the answer carries, by which callers detect the answer of
   * another request; undefined without an answer.
   */
  readonly answeredRootId: string | undefined;
  /**
   * Unused retries of the allowance; the policy's types call them `unspent`.
   */
  readonly unusedRetries: number;
}

/** A call or run in progress. */
export interface PendingCall {
  /** Ends a call whose result is no longer needed, or stops a run. */
  readonly cancel: () => void;
}

/** A node and the backend server beside it. */
export interface SimulatedNode {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly backend: FakeBackend;
  readonly handle: (
    call: SimulatedCall,
    done: (result: SimulatedResult) => void,
  ) => PendingCall;
  /** Handles a call that must not run twice, with a ticket of this node. */
  readonly handleWithTicket: (
    call: SimulatedCall,
    done: (result: SimulatedResult) => void,
  ) => PendingCall;
  /** Pauses the process; what arrives is handled when it resumes. */
  readonly pause: (pauseMs: number) => void;
  readonly isPaused: () => boolean;
  /** Whether the process was paused at any time after `at`. */
  readonly wasPausedAfter: (at: number) => boolean;
  /** Starts a replacement if the backend server is leaving. */
  readonly replace: () => void;
  readonly isLeaving: () => boolean;
}

/** Counts of the policy's decisions. */
export interface Observations {
  /** Protected calls refused although less important work got a slot. */
  rankInversions: number;
  /** Attempts sent to gates, retries and nested calls included. */
  attempts: number;
}

/** Reply of a gate to an attempt. */
export interface AttemptReply {
  readonly end: AttemptEnd;
  /** Root id that the answer carries; undefined without an answer. */
  readonly rootId: string | undefined;
  /** Death of the backend server that ended the run, if one did. */
  readonly death: Death | undefined;
  /** Time for which the run held its slot; 0 if it was not started. */
  readonly slotMs: number;
}

/** Values that nested calls inherit from the run that makes them. */
export interface ParentRun {
  readonly level: number;
  readonly weight: number;
  readonly deadlineAt: number;
}

/** An attempt to run a call at a gate. */
export interface Attempt {
  readonly call: SimulatedCall;
  /** Id of the attempt, under which the gate runs it. */
  readonly runId: string;
  /** Share of the call's retry allowance that is left to nested calls. */
  readonly retryAllowance: number;
  /** Digest of the call's kind and body. */
  readonly digest: string;
  readonly reply: (reply: AttemptReply) => void;
  /** The run in progress; undefined before it is started. */
  run: PendingCall | undefined;
  /** When the run was started; undefined while the call is queued. */
  startedAt: number | undefined;
}

/** A node with the functions that other nodes of the fleet use. */
export interface Member extends SimulatedNode {
  readonly admission: () => Admission;
  /** Offers an attempt to the node's gate. */
  readonly submit: (attempt: Attempt, work: Work) => void;
  /** Withdraws an attempt whose caller no longer waits. */
  readonly abandon: (runId: string) => void;
  readonly incarnation: () => string;
  readonly suspects: Suspects;
  readonly router: Router;
  /** When work below a level was last started; -Infinity if never. */
  readonly lastStartBelow: (level: number) => number;
  /** Whether a run below a level could still be cancelled. */
  readonly hasCancellableBelow: (level: number) => boolean;
  /** Runs a function, after the pause if the process is paused. */
  readonly deferWhilePaused: (run: () => void) => void;
}

/** State and functions that all nodes of a fleet share. */
export interface SimulationContext {
  readonly workload: Workload;
  readonly variant: Variant;
  readonly timeline: Timeline;
  readonly rng: RandomSource;
  readonly runCounts: RunCounts;
  readonly observations: Observations;
  readonly members: () => readonly Member[];
  readonly find: (id: string) => Member | undefined;
  /** One-way latency between two nodes, in ms. */
  readonly latency: (from: Member, to: Member) => number;
  /** Whether a partition separates two nodes. */
  readonly isPartitioned: (from: Member, to: Member) => boolean;
  /** Present factor on the service time of a service; 1 is normal. */
  readonly serviceTimeFactor: (service: string) => number;
  /** Updates the instances of a service in all routers. */
  readonly announceInstances: (service: string) => void;
  /**
   * Counts the refusal of a protected call as a rank inversion if less
   * important work holds or got a slot that the call could have had.
   */
  readonly countRankInversion: (
    origin: Member,
    call: SimulatedCall,
    arrivedAt: number,
  ) => void;
}

/** Digest of a call's kind and body, the same for all resends. */
export function digestCall(call: SimulatedCall): string {
  const { service, kind } = call.tree;
  return `${service}/${kind.name}/${call.rootId}`;
}
