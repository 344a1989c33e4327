/** Platform adapter of the native protocol. */

import { formatEnvelopeError, verifyEnvelope } from "@coltsfootdeal/bundle";
import type { Clock } from "@coltsfootdeal/kernel";
import { createPlatformClient } from "./agent/platform_client.ts";
import { createPlatformWatch } from "./agent/platform_watch.ts";
import { createBackendServer } from "./gate/backend_server.ts";
import type { PlatformAdapter } from "./ports.ts";
import type { Settings } from "./settings.ts";

/**
 * Creates the adapter for signed bundles, the HTTP API of the platform and a
 * backend server that reads the headers of the native protocol.
 */
export function createNativeAdapter(
  settings: Settings,
  clock: Clock,
): PlatformAdapter {
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
