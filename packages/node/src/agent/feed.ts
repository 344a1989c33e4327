/** What the platform publishes, as a node receives it. */

import type { ListedInstance } from "@coltsfootdeal/policy";

/** A value of the configuration service. */
export interface PlatformValue {
  readonly key: string;
  readonly revision: number;
  readonly value: string;
}

/** An entry of the instance list. */
export interface PlatformInstance extends ListedInstance {
  readonly revision: number;
}

/** Where a feed delivers what it reads. */
export interface FeedSinks {
  readonly onValues: (values: readonly PlatformValue[]) => void;
  readonly onInstances: (instances: readonly PlatformInstance[]) => void;
  /** Told when the platform is lost or regained. */
  readonly onReachabilityChange: (reachable: boolean, reason: string) => void;
}

/** A feed that can be switched on and off. */
export interface Feed {
  readonly start: () => void;
  readonly stop: () => void;
  readonly active: () => boolean;
  readonly reachable: () => boolean;
  readonly close: () => void;
}
