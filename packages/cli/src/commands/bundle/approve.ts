/** `coltsfootdeal bundle approve` */

import { approveBundle, parsePrivateKey } from "@coltsfootdeal/bundle";
import { Args, Flags } from "@oclif/core";
import { BaseCommand } from "../../base_command.ts";
import { readBundleFile, readTextFile, writeTextFile } from "../../files.ts";

/** Signs a bundle and writes the approval to a file. */
export class BundleApproveCommand extends BaseCommand {
  static override summary = "Sign a valid bundle.";
  static override args = {
    file: Args.string({ required: true, description: "Bundle in INI." }),
  };
  static override flags = {
    key: Flags.string({ required: true, summary: "Private key file." }),
    out: Flags.string({ required: true, summary: "Approval file to write." }),
  };

  /** Runs the command. */
  async run() {
    const { args, flags } = await this.parse(BundleApproveCommand);
    const file = await readBundleFile(args.file);
    const { text, bundle } = this.unwrap(file, { label: args.file });
    const pem = this.unwrap(await readTextFile(flags.key), {
      label: flags.key,
    });
    const key = this.unwrap(parsePrivateKey(pem), { label: flags.key });
    const approval = approveBundle(text, key);
    const json = `${JSON.stringify(approval, null, 2)}\n`;
    const written = await writeTextFile(flags.out, json, { overwrite: true });
    this.unwrap(written, { label: flags.out });
    const { scope, version } = bundle;
    this.log(`approved ${scope} version ${version} by key ${key.id}`);
    return { scope, version, keyId: key.id, digest: approval.digest };
  }
}
