/**
 * Platform adapter for the native protocol: the one that this project defines,
 * as opposed to a platform's own.
 */

import { formatEnvelopeError, verifyEnvelope } from "@coltsfootdeal/bundle";
import type { Clock } from "@coltsfootdeal/kernel";
import { createPlatformClient } from "./agent/platform_client.ts";
import { createPlatformWatch } from "./agent/platform_watch.ts";
import { createBackendServer } from "./gate/backend_server.ts";
import type { Log } from "./log.ts";
import type { PlatformAdapter } from "./ports.ts";
import type { Settings } from "./settings.ts";

/**
 * Creates the adapter. It verifies the signatures of bundles and reads
 * configuration values and instances from the platform's HTTP API. Calls to the
 * backend server carry the run id, deadline, account and caller in headers.
 */
export function createNativeAdapter(
  settings: Settings,
  options: { readonly clock: Clock; readonly log: Log },
): PlatformAdapter {
  const { clock, log } = options;
  return {
    openBundle: (text) =>
      verifyEnvelope(text, settings.trust).mapErr(formatEnvelopeError),
    // The feed requests changes with the HTTP client and passes them to the
    // sinks.
    createFeed: (sinks, client) =>
      createPlatformWatch({
        ...sinks,
        clock,
        platform: createPlatformClient(settings.platform, client, {
          onMalformedItem: (reason) =>
            log.warn("platform.malformed_item", { reason }),
        }),
      }),
    // Returns a client; the backend server is a process of its own.
    createBackend: (client) => createBackendServer(settings.backend, client),
  };
}
