/** What a backend server states about itself in the headers of its answers. */
export interface BackendNotice {
  /**
   * Requests per second that it accepts from all nodes together; undefined
   * without a limit.
   */
  readonly requestsPerS: number | undefined;
  /** Whether it is leaving, so that it must get no new requests. */
  readonly leaving: boolean;
}
