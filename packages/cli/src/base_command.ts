/** Base class of all commands: `--json`, exit codes, one-line errors. */

import process from "node:process";
import { Command, Errors } from "@oclif/core";
import type { Result } from "neverthrow";
import { EXIT_INPUT } from "./exit_codes.ts";

/** An error as oclif passes it to `catch`. */
interface CaughtError {
  readonly message: string;
  readonly oclif?: { readonly exit?: number };
}

/** Base class of all commands. */
export abstract class BaseCommand extends Command {
  static override enableJsonFlag = true;

  /** Exits with `EXIT_INPUT` and an error message. */
  protected fail(message: string): never {
    return this.error(message, { exit: EXIT_INPUT });
  }

  /** Returns the value of a result; exits with `EXIT_INPUT` on an error. */
  protected unwrap<Value>(
    result: Result<Value, string>,
    options: { readonly label: string },
  ): Value {
    return result.match(
      (value) => value,
      (message) => this.fail(`${options.label}: ${message}`),
    );
  }

  /** Prints an error as one line, without a stack trace, and exits. */
  protected override catch(error: CaughtError): Promise<void> {
    const exit = error.oclif?.exit ?? EXIT_INPUT;
    // A command that calls `exit` has already printed its output.
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
