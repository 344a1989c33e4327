/**
 * Tells the death of a backend server from the loss of single connections: all
 * runs that were in flight at the first loss are lost within a short window.
 */

/** Gathers losses of runs. */
export interface Losses {
  readonly started: (runId: string) => void;
  /** Records the end of a run that was not lost. */
  readonly ended: (runId: string) => void;
  /** Records a lost run; the returned promise tells whether it was a death. */
  readonly lost: (runId: string) => Promise<boolean>;
}

/** Resolved configuration. */
export interface LossesConfig {
  readonly wait: () => Promise<void>;
  /** Called once per death with the runs that were in flight. */
  readonly onDeath: (runIds: readonly string[]) => void;
}

interface Burst {
  readonly inFlight: ReadonlySet<string>;
  readonly survived: Set<string>;
  readonly verdict: Promise<boolean>;
}

/** Creates a register with no runs. */
export function createLosses(config: LossesConfig): Losses {
  const running = new Set<string>();
  let burst: Burst | undefined;

  async function judge(
    inFlight: ReadonlySet<string>,
    survived: ReadonlySet<string>,
  ): Promise<boolean> {
    await config.wait();
    burst = undefined;
    const still = [...inFlight].some((runId) => running.has(runId));
    if (still || survived.size > 0) return false;
    config.onDeath([...inFlight]);
    return true;
  }

  return {
    started: (runId) => running.add(runId),
    ended: (runId) => {
      running.delete(runId);
      if (burst?.inFlight.has(runId)) burst.survived.add(runId);
    },
    lost: (runId) => {
      if (burst === undefined) {
        const inFlight = new Set(running);
        const survived = new Set<string>();
        burst = { inFlight, survived, verdict: judge(inFlight, survived) };
      }
      running.delete(runId);
      return burst.verdict;
    },
  };
}
