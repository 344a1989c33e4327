/** The ports of a node on the own interface. */

import { formatEnvelopeError, verifyEnvelope } from "@coltsfootdeal/bundle";
import type { Clock } from "@coltsfootdeal/kernel";
import { createPlatformClient } from "./agent/platform_client.ts";
import { createPlatformWatch } from "./agent/platform_watch.ts";
import { createBackendServer } from "./gate/backend_server.ts";
import type { NodePorts } from "./ports.ts";
import type { Settings } from "./settings.ts";

/** Creates the ports for the own interface: signed bundles, own headers. */
export function createOwnPorts(settings: Settings, clock: Clock): NodePorts {
  return {
    openBundle: (text) =>
      verifyEnvelope(text, settings.trust).mapErr(formatEnvelopeError),
    createFeed: (sinks, client) =>
      createPlatformWatch({
        ...sinks,
        clock,
        platform: createPlatformClient(settings.platform, client),
      }),
    createBackend: (client) => createBackendServer(settings.backend, client),
  };
}
