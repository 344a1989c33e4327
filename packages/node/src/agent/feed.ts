/** Types of feeds, which deliver the platform's bundles and instance list. */

import type { ListedEntry } from "@coltsfootdeal/policy";
import type { Position } from "./position.ts";

/** A value of the configuration service. */
export interface PlatformValue {
  readonly key: string;
  readonly revision: number;
  readonly value: string;
}

/** An entry of the instance list. */
export type PlatformInstance = ListedEntry;

/** Callbacks to which a feed delivers what it reads. */
export interface FeedSinks {
  readonly onValues: (values: readonly PlatformValue[]) => void;
  readonly onInstances: (instances: readonly PlatformInstance[]) => void;
  /** Called after all keys were read, for a feed that begins with a list. */
  readonly onListed: () => void;
  /** Instances that the node knows from any source, without those gone. */
  readonly knownInstances: () => readonly PlatformInstance[];
  /**
   * Called when a read that waits for changes is given up, since the node knows
   * of a change that it has not returned.
   */
  readonly onWatchBehind: () => void;
  /** Called when the platform becomes reachable or unreachable. */
  readonly onReachabilityChange: (reachable: boolean, reason: string) => void;
}

/** That all changes of the platform up to a time and position were read. */
export interface Confirmation {
  readonly at: number;
  /** Absent if the platform has no single position. */
  readonly position?: Position;
}

/** A feed that reads the platform between `start` and `stop`. */
export interface Feed {
  readonly start: () => void;
  readonly stop: () => void;
  /** Reads the present state once, without waiting for changes. */
  readonly readOnce: () => void;
  /**
   * Reads the changes after a known position once, or all without one. Resolves
   * to undefined if the platform does not answer.
   */
  readonly check: (
    known: Position | undefined,
  ) => Promise<Confirmation | undefined>;
  /**
   * Time at which the latest read was sent that was answered; all changes up to
   * it were read. Undefined before the first. A read that waits for changes
   * confirms nothing while it waits, since its connection may be dead.
   */
  readonly confirmedAt: () => number | undefined;
  /** Records that the node knows all changes up to a position from peers. */
  readonly advance: (position: Position) => void;
  /** Time of the latest answer of the platform; undefined before the first. */
  readonly answeredAt: () => number | undefined;
  /** Latest position that was read, if the platform has a single one. */
  readonly position: () => Position | undefined;
  readonly active: () => boolean;
  /** Whether the last request to the platform was answered. */
  readonly reachable: () => boolean;
  readonly close: () => void;
}
