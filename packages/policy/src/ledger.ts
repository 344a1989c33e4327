/**
 * The chain ledger: how many retries each call in flight may still spend, over
 * its whole tree. A share for a call further down is split off, never copied,
 * and its unspent rest is credited when the answer arrives.
 */

/** Retry allowances of the calls in flight. */
export interface RetryLedger {
  /** Opens an account for a call. */
  readonly open: (callId: string, allowance: number) => void;
  /** Retries left; 0 for an unknown call. */
  readonly left: (callId: string) => number;
  /** Takes one retry; false if none is left. */
  readonly spend: (callId: string) => boolean;
  /** Splits off a share for a call further down and returns its size. */
  readonly split: (callId: string) => number;
  /** Credits the unspent rest of a share. */
  readonly credit: (callId: string, unspent: number) => void;
  /** Closes the account and returns what is left. */
  readonly close: (callId: string) => number;
  /** Number of open accounts. */
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
