/** Virtual time for discrete-event simulation. */

import TinyQueue from "tinyqueue";

interface Event {
  readonly at: number;
  /** Order of scheduling, which decides between events at the same time. */
  readonly order: number;
  readonly run: () => void;
}

/** A virtual clock with pending events. */
export interface Timeline {
  /** Virtual time in ms. */
  readonly now: () => number;
  /** Schedules a function; a negative delay counts as 0. */
  readonly after: (delayMs: number, run: () => void) => void;
  /** Runs all events up to a time, in the order of their time. */
  readonly runUntil: (until: number) => void;
}

/** Creates a timeline that begins at 0. */
export function createTimeline(): Timeline {
  const events = new TinyQueue<Event>(
    [],
    (a, b) => a.at - b.at || a.order - b.order,
  );
  let now = 0;
  let order = 0;
  return {
    now: () => now,
    after: (delayMs, run) => {
      events.push({ at: now + Math.max(0, delayMs), order: order++, run });
    },
    runUntil: (until) => {
      for (
        let next = events.peek();
        next !== undefined && next.at <= until;
        next = events.peek()
      ) {
        events.pop();
        now = next.at;
        next.run();
      }
      now = until;
    },
  };
}
