/** `coltsfootdeal settings check` */

import process from "node:process";
import { formatFault } from "@coltsfootdeal/bundle";
import { formatAddress, resolveSettings } from "@coltsfootdeal/node";
import { Args } from "@oclif/core";
import { BaseCommand } from "../../base_command.ts";
import { EXIT_NEGATIVE } from "../../exit_codes.ts";
import { readTextFile } from "../../files.ts";

/** Validates a node's settings and lists all their faults. */
export class SettingsCheckCommand extends BaseCommand {
  static override summary = "Check a node's settings and list all faults.";
  static override args = {
    file: Args.string({ required: true, description: "Settings in INI." }),
  };

  /** Runs the command. */
  async run() {
    const { args } = await this.parse(SettingsCheckCommand);
    const text = this.unwrap(await readTextFile(args.file), {
      label: args.file,
    });
    const resolved = resolveSettings(text);
    if (resolved.isErr()) {
      for (const fault of resolved.error) this.log(formatFault(fault));
      this.log(`${resolved.error.length} faults`);
      process.exitCode = EXIT_NEGATIVE;
      return { valid: false, faults: resolved.error };
    }
    const { instance, service, dataCentre, data } = resolved.value;
    const address = formatAddress(data);
    this.log(`valid: ${instance} of ${service} in ${dataCentre}, ${address}`);
    return { valid: true, instance, service, dataCentre, data: address };
  }
}
