/** What all commands share: `--json`, exit codes, one-line errors. */

import process from "node:process";
import { Command, Errors } from "@oclif/core";
import type { Result } from "neverthrow";
import { EXIT_INPUT } from "./exit_codes.ts";

interface CaughtError {
  readonly message: string;
  readonly oclif?: { readonly exit?: number };
}

/** Base of all commands. */
export abstract class BaseCommand extends Command {
  static override enableJsonFlag = true;

  /** Ends with wrong input. */
  protected fail(message: string): never {
    return this.error(message, { exit: EXIT_INPUT });
  }

  /** Unwraps a result, or ends with wrong input. */
  protected take<Value>(
    result: Result<Value, string>,
    options: { readonly what: string },
  ): Value {
    return result.match(
      (value) => value,
      (message) => this.fail(`${options.what}: ${message}`),
    );
  }

  /** Writes an error as one line; never a stack trace. */
  protected override catch(error: CaughtError): Promise<void> {
    const exit = error.oclif?.exit ?? EXIT_INPUT;
    // A command that ends with a code of its own has said what it had to say.
    if (error instanceof Errors.ExitError) process.exit(exit);
    const message = error.message.split("\n").map((line) =>
      line.trim().replaceAll(/\s+/g, " ")
    ).filter((line) => line !== "" && !line.startsWith("See more help"))
      .join("; ").replaceAll(":;", ":");
    if (this.jsonEnabled()) {
      process.stdout.write(`${JSON.stringify({ error: message })}\n`);
    } else {
      process.stderr.write(`coltsfootdeal: ${message}\n`);
    }
    process.exit(exit);
  }
}
