/** Formats results as a table for a terminal. */

import type { RunResult } from "./run_scenario.ts";

/** A column of the table and how it shows a result. */
interface Column {
  readonly title: string;
  readonly width: number;
  readonly text: (result: RunResult) => string;
}

function formatRatio(value: number | null): string {
  return value === null ? "-" : value.toFixed(3);
}

const COLUMNS: readonly Column[] = [
  { title: "scenario", width: 13, text: (r) => r.scenario },
  { title: "deployment", width: 11, text: (r) => r.deployment },
  { title: "variant", width: 14, text: (r) => r.variant },
  { title: "load", width: 5, text: (r) => String(r.overload) },
  { title: "goodput", width: 8, text: (r) => formatRatio(r.goodputRatio) },
  { title: "ranked", width: 7, text: (r) => formatRatio(r.rankedRatio) },
  {
    title: "recovery",
    width: 9,
    text: (r) => r.recoveryMs === null ? "never" : `${r.recoveryMs}ms`,
  },
  {
    title: "protected",
    width: 10,
    text: (r) => formatRatio(r.protectedAnsweredRatio),
  },
  { title: "kept", width: 6, text: (r) => formatRatio(r.otherKeptRatio) },
  { title: "invert", width: 7, text: (r) => String(r.rankInversions) },
  { title: "dup", width: 5, text: (r) => String(r.duplicateRuns) },
  { title: "false", width: 6, text: (r) => String(r.falseNotRun) },
  { title: "wrong", width: 6, text: (r) => String(r.wrongAnswers) },
  { title: "cut", width: 5, text: (r) => String(r.cutInFlight) },
  { title: "runs", width: 5, text: (r) => String(r.maxAttemptsPerRoot) },
  { title: "attempts", width: 9, text: (r) => r.attemptsPerRoot.toFixed(2) },
  {
    title: "leaving",
    width: 8,
    text: (r) => `${Math.round(r.newWorkAfterLeavingMs)}ms`,
  },
  { title: "poison", width: 7, text: (r) => r.crashesPerPoison.toFixed(1) },
];

/** Formats the header of the table. */
export function formatHeader(): string {
  return COLUMNS.map(({ title, width }) => title.padEnd(width)).join(" ");
}

/** Formats one result as a row of the table. */
export function formatRow(result: RunResult): string {
  return COLUMNS.map(({ text, width }) => text(result).padEnd(width)).join(" ");
}
