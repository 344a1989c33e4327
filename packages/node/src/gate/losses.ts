/**
 * Distinguishes the death of a backend server from the loss of single
 * connections. The backend server counts as dead if every run that was in
 * flight at the first loss is lost within a short window.
 */

/** Tracks runs and detects from lost ones that the backend server died. */
export interface DeathDetector {
  readonly runStarted: (runId: string) => void;
  /** Records the end of a run whose connection was not lost. */
  readonly runEnded: (runId: string) => void;
  /**
   * Records a run whose connection was lost. Resolves at the end of the window
   * with true if the backend server died, false if only connections were lost.
   */
  readonly runLost: (runId: string) => Promise<boolean>;
}

/** Resolved configuration of a death detector. */
export interface DeathDetectorConfig {
  /** Resolves at the end of the window that starts with the first loss. */
  readonly waitForWindow: () => Promise<void>;
  /** Called once per death with the runs in flight at the first loss. */
  readonly onDeath: (runIds: readonly string[]) => void;
}

/** The window that starts with the first lost run. */
interface LossWindow {
  /** Runs in flight at the first loss. */
  readonly inFlight: ReadonlySet<string>;
  /** Those of them that ended inside the window with their connection kept. */
  readonly survived: Set<string>;
  readonly isDeath: Promise<boolean>;
}

/** Creates a detector with no runs. */
export function createDeathDetector(
  config: DeathDetectorConfig,
): DeathDetector {
  const running = new Set<string>();
  let lossWindow: LossWindow | undefined;

  /** Waits for the end of the window and decides whether it was a death. */
  async function detectDeath(
    inFlight: ReadonlySet<string>,
    survived: ReadonlySet<string>,
  ): Promise<boolean> {
    await config.waitForWindow();
    lossWindow = undefined;
    const stillRunning = [...inFlight].some((runId) => running.has(runId));
    if (stillRunning || survived.size > 0) return false;
    config.onDeath([...inFlight]);
    return true;
  }

  return {
    runStarted: (runId) => running.add(runId),
    runEnded: (runId) => {
      running.delete(runId);
      if (lossWindow?.inFlight.has(runId)) lossWindow.survived.add(runId);
    },
    runLost: (runId) => {
      if (lossWindow === undefined) {
        const inFlight = new Set(running);
        const survived = new Set<string>();
        lossWindow = {
          inFlight,
          survived,
          isDeath: detectDeath(inFlight, survived),
        };
      }
      running.delete(runId);
      return lossWindow.isDeath;
    },
  };
}
