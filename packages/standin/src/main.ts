#!/usr/bin/env node
/**
 * The binary `coltsfootdeal-standin`, which runs a stand-in of the platform or
 * of a backend server.
 */

import { readFile } from "node:fs/promises";
import process from "node:process";
import { parseArgs } from "node:util";
import { startBackend } from "./backend.ts";
import { startPlatform } from "./platform.ts";

const USAGE = `usage:
  coltsfootdeal-standin platform [--port N] [--lag-ms N]
      [--value KEY=FILE]... [--instance JSON]...
  coltsfootdeal-standin backend --service NAME [--port N] [--slots N]
      [--service-ms N]`;

function exitWithUsageError(message: string): never {
  process.stderr.write(`${message}\n`);
  process.exit(2);
}

function parseArguments() {
  try {
    return parseArgs({
      allowPositionals: true,
      options: {
        port: { type: "string", default: "0" },
        "lag-ms": { type: "string", default: "0" },
        value: { type: "string", multiple: true, default: [] },
        instance: { type: "string", multiple: true, default: [] },
        service: { type: "string" },
        slots: { type: "string", default: "10" },
        "service-ms": { type: "string", default: "10" },
      },
    });
  } catch {
    return exitWithUsageError(USAGE);
  }
}

async function main(): Promise<void> {
  const { positionals, values } = parseArguments();
  const port = Number(values.port);
  switch (positionals[0]) {
    case "platform": {
      const listLagMs = Number(values["lag-ms"]);
      const platform = await startPlatform({ port, listLagMs });
      for (const option of values.value) {
        const [key = "", file = ""] = option.split("=");
        platform.publish(key, await readFile(file, "utf8"));
      }
      for (const arg of values.instance) platform.putInstance(JSON.parse(arg));
      process.stdout.write(`platform on ${platform.address}\n`);
      return;
    }
    case "backend": {
      const service = values.service ?? exitWithUsageError(USAGE);
      const slots = Number(values.slots);
      const serviceMs = Number(values["service-ms"]);
      const backend = await startBackend({ service, port, slots, serviceMs });
      process.stdout.write(`backend on ${backend.address}\n`);
      return;
    }
    default:
      return exitWithUsageError(USAGE);
  }
}

main();
