#!/usr/bin/env node
/** Entry point of the binary `coltsfootdeal-bench`. */

import process from "node:process";
import { parseArgs } from "node:util";
import { measureSlopes } from "./capacity_slopes.ts";
import { DISTRIBUTION_SIZES, runDistribution } from "./distribution.ts";
import { measureNodeCost, measureNodeCostInProcess } from "./node_cost.ts";
import { runScenario } from "./run_scenario.ts";
import { SCENARIOS } from "./scenarios.ts";
import { formatHeader, formatRow } from "./table.ts";
import { VARIANTS } from "./variants.ts";
import { createMalabar, createSeloVerde, type Workload } from "./workload.ts";

const USAGE = `usage: coltsfootdeal-bench [options]
  --scenario NAME    one scenario (default: all); see --list
  --deployment NAME  selo-verde or malabar (default: both)
  --variant NAME     ${VARIANTS.map(({ name }) => name).join(", ")} or all
                     (default: coltsfootdeal)
  --overload X       load during the pressure, in capacities (default: 2)
  --seed N           seed of the run (default: 1)
  --pressure-ms N    length of the pressure (default: 30000)
  --json             one JSON object a line
  --list             list the scenarios

  --scenario distribution  spread of news over growing fleets
  --scenario node          time added by real nodes on loopback; with
                           --node and --direct, by running processes
  capacity                 slopes for docs/CAPACITY.md`;

/** Prints a message and exits with status 2. */
function fail(message: string): never {
  process.stderr.write(`${message}\n`);
  process.exit(2);
}

function parseCommandLine() {
  try {
    return parseArgs({
      allowPositionals: true,
      options: {
        scenario: { type: "string" },
        deployment: { type: "string" },
        variant: { type: "string", default: "coltsfootdeal" },
        overload: { type: "string", default: "2" },
        seed: { type: "string", default: "1" },
        "pressure-ms": { type: "string", default: "30000" },
        node: { type: "string" },
        direct: { type: "string" },
        json: { type: "boolean", default: false },
        list: { type: "boolean", default: false },
        help: { type: "boolean", default: false },
      },
    });
  } catch (error) {
    return fail(`${(error as Error).message}\n${USAGE}`);
  }
}

function parsePositive(text: string, name: string): number {
  const value = Number(text);
  if (!Number.isFinite(value) || value <= 0) {
    return fail(`--${name}: expected a number above 0, found "${text}"`);
  }
  return value;
}

/** Selects the items with a name; all if the name is `all` or missing. */
function selectByName<Item extends { readonly name: string }>(
  items: readonly Item[],
  name: string | undefined,
): readonly Item[] {
  if (name === undefined || name === "all") return items;
  const found = items.filter((item) => item.name === name);
  const known = items.map((item) => item.name).join(", ");
  return found.length > 0
    ? found
    : fail(`${name}: expected one of ${known}, all`);
}

/** Prints a result as one line of JSON. */
function printJson(result: object): void {
  process.stdout.write(`${JSON.stringify(result)}\n`);
}

function measureDistribution(seed: number): void {
  for (const members of DISTRIBUTION_SIZES) {
    const dataCentres = members >= 576 ? 9 : 3;
    for (const loss of [0, 0.1]) {
      printJson(runDistribution({ members, dataCentres, loss, seed }));
    }
  }
}

async function main(): Promise<void> {
  const { values, positionals } = parseCommandLine();
  if (values.help) return void process.stdout.write(`${USAGE}\n`);
  if (values.list) {
    const names = [...SCENARIOS, "distribution", "node"];
    return void process.stdout.write(`${names.join("\n")}\n`);
  }
  const [command] = positionals;
  if (command === "capacity") return (await measureSlopes()).forEach(printJson);
  if (command !== undefined) return fail(`${command}: expected capacity`);
  if (values.scenario === "distribution") {
    return measureDistribution(parsePositive(values.seed, "seed"));
  }
  if (values.scenario === "node") {
    const load = { callsPerSecond: 500, seconds: 10 };
    const { node, direct } = values;
    if (node === undefined || direct === undefined) {
      return printJson(await measureNodeCostInProcess(load));
    }
    return printJson(await measureNodeCost({ node, direct }, load));
  }
  const workloads: readonly Workload[] = selectByName(
    [createSeloVerde(), createMalabar()],
    values.deployment,
  );
  const variants = selectByName(VARIANTS, values.variant);
  const scenarios = selectByName(
    SCENARIOS.map((name) => ({ name })),
    values.scenario,
  );
  const overload = parsePositive(values.overload, "overload");
  const seed = parsePositive(values.seed, "seed");
  const pressureMs = parsePositive(values["pressure-ms"], "pressure-ms");
  if (!values.json) process.stdout.write(`${formatHeader()}\n`);
  for (const { name: scenario } of scenarios) {
    for (const workload of workloads) {
      for (const variant of variants) {
        const result = runScenario({
          scenario,
          workload,
          variant,
          seed,
          overload,
          pressureMs,
        });
        if (result === undefined) continue;
        const line = values.json ? JSON.stringify(result) : formatRow(result);
        process.stdout.write(`${line}\n`);
      }
    }
  }
}

await main();
