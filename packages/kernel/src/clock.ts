/** Clock interface and system clock; tests substitute a virtual clock. */

/** A pending timer. */
export interface Timer {
  /** Cancels the timer if it has not fired. */
  readonly close: () => void;
}

/** Monotonic time and timers; all times are in ms. */
export interface Clock {
  /** Milliseconds since an arbitrary origin; never decreases. */
  readonly now: () => number;
  /** Calls `run` once after `delayMs`. */
  readonly after: (delayMs: number, run: () => void) => Timer;
  /** Calls `run` every `periodMs`. */
  readonly every: (periodMs: number, run: () => void) => Timer;
}

/** Creates a clock on the timers of the running process. */
export function createSystemClock(): Clock {
  return {
    now: () => performance.now(),
    after: (delayMs, run) => {
      const handle = setTimeout(run, delayMs);
      return { close: () => clearTimeout(handle) };
    },
    every: (periodMs, run) => {
      const handle = setInterval(run, periodMs);
      return { close: () => clearInterval(handle) };
    },
  };
}

/** Resolves after `delayMs`, or as soon as the signal is aborted. */
export function sleep(
  clock: Clock,
  delayMs: number,
  signal: AbortSignal,
): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) return resolve();
    const timer = clock.after(delayMs, finish);

    function finish(): void {
      timer.close();
      // A signal may outlive many waits.
      signal.removeEventListener("abort", finish);
      resolve();
    }

    signal.addEventListener("abort", finish, { once: true });
  });
}
