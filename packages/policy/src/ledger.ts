/**
 * Retry ledger: how many retries each call in flight may still spend, including
 * its nested calls. The share of a nested call is split off from the allowance
 * of its parent, and its unused retries are credited when the answer arrives.
 * So a tree of calls never spends more than the allowance of its root.
 */

/** Retry allowances of the calls in flight. */
export interface RetryLedger {
  /** Registers a call with its allowance. */
  readonly open: (callId: string, allowance: number) => void;
  /** Retries left; 0 for an unknown call. */
  readonly left: (callId: string) => number;
  /** Spends one retry; false if none is left. */
  readonly spend: (callId: string) => boolean;
  /** Splits off half of the retries left, rounded up, and returns it. */
  readonly split: (callId: string) => number;
  /** Credits the unused retries of a share; ignored for an unknown call. */
  readonly credit: (callId: string, unspent: number) => void;
  /** Removes a call and returns its unused retries. */
  readonly close: (callId: string) => number;
  /** Number of registered calls. */
  readonly size: () => number;
}

/** Creates an empty ledger. */
export function createRetryLedger(): RetryLedger {
  const allowances = new Map<string, number>();

  function take(callId: string, amount: number): number {
    const left = allowances.get(callId) ?? 0;
    const taken = Math.min(left, amount);
    if (taken > 0) allowances.set(callId, left - taken);
    return taken;
  }

  return {
    open: (callId, allowance) => {
      allowances.set(callId, Math.max(0, Math.floor(allowance)));
    },
    left: (callId) => allowances.get(callId) ?? 0,
    spend: (callId) => take(callId, 1) === 1,
    split: (callId) =>
      take(callId, Math.ceil((allowances.get(callId) ?? 0) / 2)),
    credit: (callId, unspent) => {
      const left = allowances.get(callId);
      if (left !== undefined && unspent > 0) {
        allowances.set(callId, left + Math.floor(unspent));
      }
    },
    close: (callId) => {
      const left = allowances.get(callId) ?? 0;
      allowances.delete(callId);
      return left;
    },
    size: () => allowances.size,
  };
}
