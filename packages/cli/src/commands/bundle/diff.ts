/** `coltsfootdeal bundle diff` */

import { diffBundles, formatChange } from "@coltsfootdeal/bundle";
import { Args } from "@oclif/core";
import { BaseCommand } from "../../base_command.ts";
import { readBundleFile } from "../../files.ts";

/** Lists the differences between two bundles. */
export class BundleDiffCommand extends BaseCommand {
  static override summary = "List what changes from one bundle to another.";
  static override args = {
    before: Args.string({ required: true, description: "INI or envelope." }),
    after: Args.string({ required: true, description: "INI or envelope." }),
  };

  /** Runs the command. */
  async run() {
    const { args } = await this.parse(BundleDiffCommand);
    const { before, after } = args;
    const beforeFile = this.unwrap(await readBundleFile(before), {
      label: before,
    });
    const afterFile = this.unwrap(await readBundleFile(after), {
      label: after,
    });
    const changes = diffBundles(beforeFile.bundle, afterFile.bundle);
    for (const change of changes) this.log(formatChange(change));
    const risky = changes.filter((change) => change.risky).length;
    this.log(`${changes.length} changes, ${risky} to look at twice`);
    return { changes };
  }
}
