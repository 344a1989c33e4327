/** Reads and writes the files of commands. */

import { readFile, writeFile } from "node:fs/promises";
import {
  type Bundle,
  formatFault,
  parseBundle,
  parsePublicKey,
  type PublicKey,
} from "@coltsfootdeal/bundle";
import { err, ok, type Result } from "neverthrow";

/** A bundle and the INI text that it was parsed from. */
export interface BundleFile {
  readonly text: string;
  readonly bundle: Bundle;
}

function errorCode(error: unknown): string {
  return String((error as { readonly code?: unknown }).code ?? error);
}

/** Reads a UTF-8 text file; the error carries the system's error code. */
export async function readTextFile(
  path: string,
): Promise<Result<string, string>> {
  try {
    return ok(await readFile(path, "utf8"));
  } catch (error) {
    return err(`cannot be read (${errorCode(error)})`);
  }
}

/**
 * Writes a text file. `ownerOnly` restricts access to the owner; an existing
 * file is an error unless `overwrite` is set.
 */
export async function writeTextFile(
  path: string,
  text: string,
  options: { readonly ownerOnly?: boolean; readonly overwrite?: boolean } = {},
): Promise<Result<void, string>> {
  const mode = options.ownerOnly ? 0o600 : 0o644;
  const flag = options.overwrite ? "w" : "wx";
  try {
    return ok(await writeFile(path, text, { mode, flag }));
  } catch (error) {
    return err(`cannot be written (${errorCode(error)})`);
  }
}

/** Returns the INI text of a file that contains INI or an envelope. */
function extractBundleText(content: string): string {
  if (!content.trimStart().startsWith("{")) return content;
  try {
    const { text } = JSON.parse(content) as { readonly text?: unknown };
    return typeof text === "string" ? text : content;
  } catch {
    return content;
  }
}

/** Reads a bundle from an INI file or an envelope; verifies no signatures. */
export async function readBundleFile(
  path: string,
): Promise<Result<BundleFile, string>> {
  const content = await readTextFile(path);
  if (content.isErr()) return err(content.error);
  const text = extractBundleText(content.value);
  return parseBundle(text)
    .map((bundle) => ({ text, bundle }))
    .mapErr((faults) => faults.map(formatFault).join("; "));
}

/** Reads public keys; each source is a file path or the key in base64. */
export async function readTrustedKeys(
  sources: readonly string[],
): Promise<Result<readonly PublicKey[], string>> {
  const keys: PublicKey[] = [];
  for (const source of sources) {
    const file = await readTextFile(source);
    const key = parsePublicKey(file.unwrapOr(source));
    if (key.isErr()) return err(`${source}: ${key.error}`);
    keys.push(key.value);
  }
  return ok(keys);
}
