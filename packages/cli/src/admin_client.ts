/** HTTP client for the admin listeners of nodes. */

import { err, ok, type Result } from "neverthrow";
import { request } from "undici";

const REQUEST_TIMEOUT_MS = 3_000;

/**
 * Fetches a JSON page from an admin listener. The page's type is not checked;
 * an unreachable node and malformed JSON give the same error.
 */
export async function fetchAdminPage<Page>(
  address: string,
  path: string,
): Promise<Result<Page, string>> {
  try {
    const response = await request(`http://${address}${path}`, {
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    return ok(await response.body.json() as Page);
  } catch {
    return err(`${address}: no answer from an admin listener`);
  }
}
