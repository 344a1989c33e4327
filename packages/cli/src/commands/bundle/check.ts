/** `coltsfootdeal bundle check` */

import process from "node:process";
import { formatFault, parseBundle } from "@coltsfootdeal/bundle";
import { Args } from "@oclif/core";
import { BaseCommand } from "../../base_command.ts";
import { EXIT_NEGATIVE } from "../../exit_codes.ts";
import { readTextFile } from "../../files.ts";

/** Validates a bundle and lists all its faults. */
export class BundleCheckCommand extends BaseCommand {
  static override summary = "Check a bundle and list all its faults.";
  static override args = {
    file: Args.string({ required: true, description: "Bundle in INI." }),
  };

  /** Runs the command. */
  async run() {
    const { args } = await this.parse(BundleCheckCommand);
    const text = this.unwrap(await readTextFile(args.file), {
      label: args.file,
    });
    const checked = parseBundle(text);
    if (checked.isErr()) {
      for (const fault of checked.error) this.log(formatFault(fault));
      this.log(`${checked.error.length} faults`);
      process.exitCode = EXIT_NEGATIVE;
      return { valid: false, faults: checked.error };
    }
    const { scope, version, accounts, services, kinds } = checked.value;
    const summary = {
      scope,
      version,
      accounts: accounts.length,
      services: services.length,
      kinds: kinds.length,
    };
    this.log(
      `valid: scope ${scope}, version ${version}, ` +
        `${accounts.length} accounts, ${services.length} services, ` +
        `${kinds.length} kinds`,
    );
    return { valid: true, ...summary };
  }
}
