import { execFile } from "node:child_process";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { afterAll, beforeAll, expect, test } from "vitest";

/** The built command line: the tests run it as an operator does. */
const MAIN = fileURLToPath(new URL("../../dist/main.js", import.meta.url));
const BUNDLE = fileURLToPath(
  new URL("../../../../playground/malabar/bundle.ini", import.meta.url),
);
let folder = "";

beforeAll(async () => {
  folder = await mkdtemp(join(tmpdir(), "coltsfootdeal-"));
  const text = await readFile(BUNDLE, "utf8");
  await writeFile(join(folder, "one.ini"), text);
  const next = text.replace("version = 1", "version = 2")
    .replace("rank = 50", "rank = 51").replace("slots = 25", "slots = 30");
  await writeFile(join(folder, "two.ini"), next);
  const faulty = next.replace("rank = 60", "rank = high")
    .replace("floor = 0.05", "flor = 0.05");
  await writeFile(join(folder, "faulty.ini"), faulty);
  await writeFile(join(folder, "settings.ini"), "[node]\ninstance = A\n");
});

afterAll(() => rm(folder, { recursive: true }));

/** Runs one command; returns its terminal output and exit code. */
function run(line: string): Promise<string> {
  const args = [MAIN, ...line.split(" ")];
  return new Promise((resolve) => {
    execFile(process.execPath, args, { cwd: folder }, (error, out, errors) => {
      const code = error?.code ?? 0;
      resolve(`$ coltsfootdeal ${line}\n${out}${errors}exit ${code}\n`);
    });
  });
}

/**
 * Masks key ids, which differ in each run because the keys are random, and
 * digests, which change with any edit of the bundle's text.
 */
function maskKeyIdsAndDigests(text: string): string {
  return text.replace(/\b[0-9a-f]{64}\b/g, "<digest>")
    .replace(/\b[0-9a-f]{16}\b/g, "<key>");
}

/** Runs commands in order; returns their masked outputs and exit codes. */
async function session(lines: readonly string[]): Promise<string> {
  const parts: string[] = [];
  for (const line of lines) parts.push(await run(line));
  return maskKeyIdsAndDigests(parts.join("\n"));
}

test("bundle commands, also refused ones, match the golden file", async () => {
  const text = await session([
    "keys new --out ops",
    "keys new --out chief",
    "bundle check one.ini",
    "bundle check faulty.ini",
    "bundle diff one.ini two.ini",
    "bundle approve one.ini --key ops.key --out one-ops.json",
    "bundle roll one.ini --approval one-ops.json --trust ops.pub --out one.json",
    "bundle approve two.ini --key ops.key --out two-ops.json",
    "bundle approve two.ini --key chief.key --out two-chief.json",
    "bundle roll two.ini --approval two-ops.json --approval two-chief.json " +
    "--trust ops.pub --trust chief.pub --approvals-required 2 " +
    "--previous one.json --out two.json --json",
    "bundle verify two.json --trust ops.pub --trust chief.pub " +
    "--approvals-required 2",
    // Must be refused: the version is older than the previous one.
    "bundle roll one.ini --approval one-ops.json --trust ops.pub " +
    "--previous two.json --out back.json",
    // Must be refused: its only signature is by a key that is not trusted.
    "bundle verify one.json --trust chief.pub",
  ]);
  await expect(text).toMatchFileSnapshot("./__golden__/operator_session.txt");
});

test("input and connection errors match the golden file", async () => {
  const text = await session([
    "bundle check nowhere.ini",
    "bundle check",
    "bundle check one.ini two.ini",
    "bundle check --colour red one.ini",
    "bundle approve one.ini --key one.ini --out x.json",
    "bundle approve faulty.ini --key ops.key --out x.json --json",
    "bundle verify one.ini --trust nonsense",
    "call seals --node 127.0.0.1:1 --account a --caller b",
    "call a/b --node 127.0.0.1:1 --account a --caller b --deadline-ms soon",
    "status --node 127.0.0.1:1",
    "audit --node 127.0.0.1:1 --json",
    "settings check settings.ini",
    "nonsense",
  ]);
  await expect(text).toMatchFileSnapshot("./__golden__/wrong_input.txt");
});
