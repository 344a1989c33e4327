/** Types of the fleet in virtual time. */

import type {
  Admission,
  AttemptEnd,
  Death,
  Outcome,
  Router,
  Suspects,
  Work,
} from "@coltsfootdeal/policy";
import type { FakeBackend, Truth } from "./fake_backend.ts";
import type { Draw } from "./random.ts";
import type { Timeline } from "./timeline.ts";
import type { Variant } from "./variants.ts";
import type { CallTree, Workload } from "./workload.ts";

/** What the fleet needs to know of a request beside its tree. */
export interface RequestTraits {
  readonly rootId: string;
  readonly requestId: string;
  readonly caller: string;
  readonly resend: boolean;
  readonly poison: boolean;
  readonly failing: boolean;
}

/** A call as a node takes it. */
export interface SimulatedCall extends RequestTraits {
  readonly tree: CallTree;
  /** Level of the parent; undefined for a request. */
  readonly parentLevel: number | undefined;
  /** Worth of the request. */
  readonly weight: number;
  readonly deadlineAt: number;
  readonly allowance: number;
}

/** The result of a call: outcome and whose answer it is. */
export interface SimulatedResult {
  readonly outcome: Outcome;
  readonly answeredRootId: string | undefined;
  readonly unspent: number;
}

/** A call in progress. */
export interface Pending {
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
  ) => Pending;
  /** Handles a call with a ticket of this node. */
  readonly handleOnce: (
    call: SimulatedCall,
    done: (result: SimulatedResult) => void,
  ) => Pending;
  /** Stops the process for a while; what arrives waits. */
  readonly pause: (pauseMs: number) => void;
  readonly isPaused: () => boolean;
  /** Whether it was paused at any time after `at`. */
  readonly pausedAfter: (at: number) => boolean;
  /** Starts anew, as a replacement of an instance that has left. */
  readonly replace: () => void;
  readonly isLeaving: () => boolean;
}

/** Counts of what the policy decided, beside the fakes' truth. */
export interface Observations {
  rankInversions: number;
  /** Calls sent to gates, on all levels. */
  attempts: number;
}

/** What a gate replies to an attempt. */
export interface JobReply {
  readonly end: AttemptEnd;
  /** Whose answer it is. */
  readonly rootId: string | undefined;
  readonly death: Death | undefined;
  readonly slotMs: number;
}

/** What calls further down inherit from a run. */
export interface Parent {
  readonly level: number;
  readonly weight: number;
  readonly deadlineAt: number;
}

/** An attempt at a gate. */
export interface Job {
  readonly call: SimulatedCall;
  readonly runId: string;
  readonly allowance: number;
  readonly digest: string;
  readonly reply: (reply: JobReply) => void;
  run: Pending | undefined;
  startedAt: number | undefined;
}

/** A node, as other nodes deal with it. */
export interface Member extends SimulatedNode {
  readonly gate: () => Admission;
  readonly submit: (job: Job, work: Work) => void;
  readonly abandon: (runId: string) => void;
  readonly incarnation: () => string;
  readonly suspects: Suspects;
  readonly router: Router;
  /** When work of less importance was last started, by level. */
  readonly lesserStartedAt: (level: number) => number;
  readonly lesserCancellable: (level: number) => boolean;
  /** Runs something as this process, later if it is paused. */
  readonly asProcess: (run: () => void) => void;
}

/** What the nodes of a fleet share: time, network, counts. */
export interface World {
  readonly workload: Workload;
  readonly variant: Variant;
  readonly timeline: Timeline;
  readonly draw: Draw;
  readonly truth: Truth;
  readonly observations: Observations;
  readonly members: () => readonly Member[];
  readonly find: (id: string) => Member | undefined;
  readonly latency: (from: Member, to: Member) => number;
  readonly isCut: (from: Member, to: Member) => boolean;
  /** Factor on a service's times. */
  readonly slowness: (service: string) => number;
  /** Tells all routers the instances of a service. */
  readonly announce: (service: string) => void;
  /** Counts a protected call that was refused while lesser work ran. */
  readonly countInversion: (
    origin: Member,
    call: SimulatedCall,
    arrivedAt: number,
  ) => void;
}

/** Digest of a call's kind and body; a resend has the same body. */
export function digestOf(call: SimulatedCall): string {
  const { service, kind } = call.tree;
  return `${service}/${kind.name}/${call.rootId}`;
}
