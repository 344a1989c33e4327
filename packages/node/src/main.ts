#!/usr/bin/env -S node --max-semi-space-size=2
/** Command `coltsfootdeal-node`: runs one node until SIGTERM or SIGINT. */

import { readFile } from "node:fs/promises";
import process from "node:process";
import { parseArgs } from "node:util";
import { formatFault } from "@coltsfootdeal/bundle";
import { createSystemClock } from "@coltsfootdeal/kernel";
import { createLog, writeLogsToStandardOutput } from "./log.ts";
import { startNode } from "./node.ts";
import { resolveSettings } from "./settings.ts";

const USAGE = "usage: coltsfootdeal-node --settings FILE";
/** Exit status for invalid arguments, settings or listen addresses. */
const EXIT_USAGE = 2;

function fail(message: string): never {
  process.stderr.write(`${message}\n`);
  process.exit(EXIT_USAGE);
}

function parseSettingsPath(): string {
  try {
    const { values } = parseArgs({ options: { settings: { type: "string" } } });
    return values.settings ?? fail(USAGE);
  } catch {
    return fail(USAGE);
  }
}

async function main(): Promise<void> {
  const path = parseSettingsPath();
  const text = await readFile(path, "utf8").catch(() =>
    fail(`${path}: expected a readable settings file`)
  );
  const settings = resolveSettings(text);
  if (settings.isErr()) return fail(settings.error.map(formatFault).join("\n"));
  writeLogsToStandardOutput();
  const node = await startNode(settings.value, {
    clock: createSystemClock(),
    log: createLog(settings.value.instance),
  });
  if (node.isErr()) return fail(`listen: ${node.error.message}`);
  let draining = false;

  async function stop(): Promise<void> {
    if (draining) return;
    draining = true;
    await node._unsafeUnwrap().drain();
    process.exit(0);
  }
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
}

main();
