/** Upstreams: the gates to which an ingress sends calls. */

/** Identity and location of a gate. */
export interface Upstream {
  /** Instance id. */
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  /** IP address and port of its data listener. */
  readonly address: string;
  /** Unique to each start of the process; empty until the gate reports it. */
  readonly incarnation: string;
  /** Start of its backend server in Unix ms, if the list states it. */
  readonly startedAt?: number;
}

/** Load that a gate reports with each answer. */
export interface UpstreamReport {
  readonly inFlight: number;
  readonly queued: number;
  readonly limit: number;
  /** Lowest level that the gate accepts at present. */
  readonly acceptLevel: number;
  readonly leaving: boolean;
  /** Time in ms for which the answered run held its slot. */
  readonly slotMs?: number;
  /** Average time in ms for which runs of that kind hold a slot there. */
  readonly usualMs?: number;
  /** Whether runs of that kind make nested calls. */
  readonly nested?: boolean;
}
