/** `coltsfootdeal call` */

import process from "node:process";
import { type ClientOutcome, createClient } from "@coltsfootdeal/client";
import { Args, Flags } from "@oclif/core";
import { BaseCommand } from "../base_command.ts";
import { EXIT_FAILED, EXIT_REFUSED, EXIT_UNKNOWN } from "../exit_codes.ts";
import { readTextFile } from "../files.ts";

function resolveExitCode(outcome: ClientOutcome): number {
  switch (outcome.kind) {
    case "answered":
      return 0;
    case "refused":
      return EXIT_REFUSED;
    case "unknown":
      return EXIT_UNKNOWN;
    case "failed":
      return EXIT_FAILED;
  }
}

/** Sends one call; the exit code tells its outcome. */
export class CallCommand extends BaseCommand {
  static override summary = "Send one call and show its outcome.";
  static override args = {
    target: Args.string({ required: true, description: "SERVICE/KIND" }),
  };
  static override flags = {
    node: Flags.string({
      required: true,
      multiple: true,
      summary: "Data address; may be given several times.",
    }),
    account: Flags.string({ required: true }),
    caller: Flags.string({ required: true }),
    token: Flags.string({ summary: "Bearer token of the account." }),
    "deadline-ms": Flags.integer({ default: 2_000, min: 1 }),
    body: Flags.string({ default: "", summary: "Body text." }),
    "body-file": Flags.string({ exclusive: ["body"] }),
    once: Flags.boolean({ summary: "Take a ticket: run at most once." }),
  };

  /** Prints the outcome; returns it for `--json`, with the body as text. */
  private reportOutcome(outcome: ClientOutcome) {
    switch (outcome.kind) {
      case "answered": {
        const { kind, status, contentType } = outcome;
        const body = outcome.body.toString("utf8");
        this.log(`answered, status ${status}`);
        this.log(body);
        return { outcome: kind, status, contentType, body };
      }
      case "failed": {
        const body = outcome.body.toString("utf8");
        this.log(`failed: ${body}`);
        return { outcome: outcome.kind, body };
      }
      case "refused": {
        const { kind, reason, retryAfterMs } = outcome;
        this.log(`refused, not run: ${reason}`);
        return { outcome: kind, reason, retryAfterMs };
      }
      case "unknown":
        this.log(`unknown, may have run: ${outcome.reason}`);
        return { outcome: outcome.kind, reason: outcome.reason };
    }
  }

  /** Runs the command. */
  async run() {
    const { args, flags } = await this.parse(CallCommand);
    const [service, kind, ...rest] = args.target.split("/");
    if (!service || !kind || rest.length > 0) {
      return this.fail(`${args.target}: expected SERVICE/KIND`);
    }
    const file = flags["body-file"];
    const body = file === undefined
      ? flags.body
      : this.unwrap(await readTextFile(file), { label: file });
    const { account, caller, token } = flags;
    const identity = { account, caller, ...(token ? { token } : {}) };
    const client = createClient({ nodes: flags.node, identity });
    const deadlineMs = flags["deadline-ms"];
    const { once } = flags;
    const outcome = await client.call({
      service,
      kind,
      body,
      deadlineMs,
      once,
    });
    await client.close();
    process.exitCode = resolveExitCode(outcome);
    return this.reportOutcome(outcome);
  }
}
