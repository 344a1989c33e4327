/** Tasks that own their state and handle one message at a time. */

/** A running task. */
export interface SerialTask<Message> {
  /** Queues a message; messages are handled in the order they were posted. */
  readonly post: (message: Message) => void;
  /** Stops handling messages; later messages are discarded. */
  readonly close: () => void;
}

/**
 * Creates a task. A message that is posted while another one is being handled
 * waits for it, so `handle` is never re-entered.
 */
export function createSerialTask<Message>(
  handle: (message: Message) => void,
): SerialTask<Message> {
  const waiting: Message[] = [];
  let handling = false;
  let closed = false;

  function drain(): void {
    handling = true;
    try {
      for (let next = waiting.shift(); next !== undefined;) {
        handle(next);
        next = closed ? undefined : waiting.shift();
      }
    } finally {
      handling = false;
    }
  }

  return {
    post: (message) => {
      if (closed) return;
      waiting.push(message);
      if (!handling) drain();
    },
    close: () => {
      closed = true;
      waiting.length = 0;
    },
  };
}
