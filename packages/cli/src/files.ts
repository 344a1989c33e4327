/** Files that commands read and write. */

import { readFile, writeFile } from "node:fs/promises";
import {
  type Bundle,
  formatFault,
  parseBundle,
  parsePublicKey,
  type PublicKey,
} from "@coltsfootdeal/bundle";
import { err, ok, type Result } from "neverthrow";

/** A bundle and the INI text that it was read from. */
export interface BundleFile {
  readonly text: string;
  readonly bundle: Bundle;
}

function codeOf(error: unknown): string {
  return String((error as { readonly code?: unknown }).code ?? error);
}

/** Reads a text file. */
export async function readText(path: string): Promise<Result<string, string>> {
  try {
    return ok(await readFile(path, "utf8"));
  } catch (error) {
    return err(`cannot be read (${codeOf(error)})`);
  }
}

/** Writes a text file; `secret` files are readable by the owner only. */
export async function writeText(
  path: string,
  text: string,
  options: { readonly secret?: boolean; readonly replace?: boolean } = {},
): Promise<Result<void, string>> {
  const mode = options.secret ? 0o600 : 0o644;
  const flag = options.replace ? "w" : "wx";
  try {
    return ok(await writeFile(path, text, { mode, flag }));
  } catch (error) {
    return err(`cannot be written (${codeOf(error)})`);
  }
}

/** The INI text of a file that holds either it or an envelope. */
function textOf(content: string): string {
  if (!content.trimStart().startsWith("{")) return content;
  try {
    const { text } = JSON.parse(content) as { readonly text?: unknown };
    return typeof text === "string" ? text : content;
  } catch {
    return content;
  }
}

/** Reads a bundle from INI text or from an envelope (without verifying it). */
export async function readBundleFile(
  path: string,
): Promise<Result<BundleFile, string>> {
  const content = await readText(path);
  if (content.isErr()) return err(content.error);
  const text = textOf(content.value);
  return parseBundle(text)
    .map((bundle) => ({ text, bundle }))
    .mapErr((faults) => faults.map(formatFault).join("; "));
}

/** Reads public keys: files, or their text itself. */
export async function readTrust(
  sources: readonly string[],
): Promise<Result<readonly PublicKey[], string>> {
  const keys: PublicKey[] = [];
  for (const source of sources) {
    const file = await readText(source);
    const key = parsePublicKey(file.unwrapOr(source));
    if (key.isErr()) return err(`${source}: ${key.error}`);
    keys.push(key.value);
  }
  return ok(keys);
}
