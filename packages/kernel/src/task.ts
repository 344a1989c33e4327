/** Serial tasks (actors): each handles its messages one at a time. */

/** A task with a message queue. */
export interface SerialTask<Message> {
  /**
   * Queues a message. Messages are handled in the order in which they are
   * posted; if the task is idle, the message is handled before `post` returns.
   */
  readonly post: (message: Message) => void;
  /** Discards queued messages and ignores later ones. */
  readonly close: () => void;
}

/**
 * Creates a task. A message that is posted while another one is being handled
 * is queued, so `handle` is never re-entered and needs no locks for the task's
 * state. An error that `handle` throws reaches the caller of `post`.
 */
export function createSerialTask<Message>(
  handle: (message: Message) => void,
): SerialTask<Message> {
  const queue: Message[] = [];
  let handling = false;
  let closed = false;

  function processQueue(): void {
    handling = true;
    try {
      for (let next = queue.shift(); next !== undefined;) {
        handle(next);
        next = closed ? undefined : queue.shift();
      }
    } finally {
      handling = false;
    }
  }

  return {
    post: (message) => {
      if (closed) return;
      queue.push(message);
      if (!handling) processQueue();
    },
    close: () => {
      closed = true;
      queue.length = 0;
    },
  };
}
