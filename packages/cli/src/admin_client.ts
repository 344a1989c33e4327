/** Reads nodes' admin pages. */

import { err, ok, type Result } from "neverthrow";
import { request } from "undici";

const TIMEOUT_MS = 3_000;

/** Reads a JSON page of an admin listener. */
export async function readPage<Page>(
  address: string,
  path: string,
): Promise<Result<Page, string>> {
  try {
    const response = await request(`http://${address}${path}`, {
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    return ok(await response.body.json() as Page);
  } catch {
    return err(`${address}: no answer from an admin listener`);
  }
}
