/**
 * Runs soaks by seed: `--seed N --count N --seconds N --per-service N`. Prints
 * one JSON line each; exits with 1 if a promise was broken, and keeps the logs
 * of that seed's nodes in `--logs DIR`.
 */

import { mkdir, rm, writeFile } from "node:fs/promises";
import { join } from "node:path";
import process from "node:process";
import { parseArgs } from "node:util";
import { runSoak } from "./soak/run_soak.ts";

const DEFAULT_SECONDS = 20;
const DEFAULT_GAP_MS = 900;
/** Lines about broken promises that are printed for a seed. */
const LINES_MAX = 20;

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: {
      seed: { type: "string", default: "1" },
      count: { type: "string", default: "1" },
      seconds: { type: "string", default: String(DEFAULT_SECONDS) },
      gap: { type: "string", default: String(DEFAULT_GAP_MS) },
      "per-service": { type: "string", default: "2" },
      program: { type: "string" },
      logs: { type: "string", default: "target/soak" },
    },
  });
  const first = Number(values.seed);
  let failed = 0;
  for (let seed = first; seed < first + Number(values.count); seed++) {
    const logFolder = join(values.logs, `seed-${seed}`);
    await rm(logFolder, { recursive: true, force: true });
    await mkdir(logFolder, { recursive: true });
    const { events, broken, late, ...figures } = await runSoak({
      seed,
      perService: Number(values["per-service"]),
      lengthMs: Number(values.seconds) * 1_000,
      gapMs: Number(values.gap),
      logFolder,
      ...(values.program === undefined ? {} : { program: values.program }),
    });
    const line = {
      ...figures,
      broken: broken.slice(0, LINES_MAX),
      late: late.slice(0, LINES_MAX),
    };
    process.stdout.write(`${JSON.stringify(line)}\n`);
    if (broken.length + late.length === 0) {
      await rm(logFolder, { recursive: true });
      continue;
    }
    failed++;
    const report = JSON.stringify({ ...line, events, broken, late }, null, 2);
    await writeFile(join(logFolder, "report.json"), report);
  }
  process.exit(failed === 0 ? 0 : 1);
}

main();
