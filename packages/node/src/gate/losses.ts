/**
 * Tells the death of a backend server from the loss of single connections: all
 * runs that were in flight at the first loss are lost within a short window.
 */

/** Gathers losses of runs. */
export interface DeathDetector {
  readonly runStarted: (runId: string) => void;
  /** Records the end of a run that was not lost. */
  readonly runEnded: (runId: string) => void;
  /** Records a lost run; the returned promise tells whether it was a death. */
  readonly runLost: (runId: string) => Promise<boolean>;
}

/** Resolved configuration. */
export interface DeathDetectorConfig {
  readonly waitForWindow: () => Promise<void>;
  /** Called once per death with the runs that were in flight. */
  readonly onDeath: (runIds: readonly string[]) => void;
}

interface Burst {
  readonly inFlight: ReadonlySet<string>;
  readonly survived: Set<string>;
  readonly verdict: Promise<boolean>;
}

/** Creates a register with no runs. */
export function createDeathDetector(
  config: DeathDetectorConfig,
): DeathDetector {
  const running = new Set<string>();
  let burst: Burst | undefined;

  async function judge(
    inFlight: ReadonlySet<string>,
    survived: ReadonlySet<string>,
  ): Promise<boolean> {
    await config.waitForWindow();
    burst = undefined;
    const still = [...inFlight].some((runId) => running.has(runId));
    if (still || survived.size > 0) return false;
    config.onDeath([...inFlight]);
    return true;
  }

  return {
    runStarted: (runId) => running.add(runId),
    runEnded: (runId) => {
      running.delete(runId);
      if (burst?.inFlight.has(runId)) burst.survived.add(runId);
    },
    runLost: (runId) => {
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
