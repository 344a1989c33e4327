/** `coltsfootdeal bundle approve` */

import { approveBundle, parsePrivateKey } from "@coltsfootdeal/bundle";
import { Args, Flags } from "@oclif/core";
import { BaseCommand } from "../../base_command.ts";
import { readBundleFile, readText, writeText } from "../../files.ts";

/** Signs a bundle. */
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
    const { text, bundle } = this.take(file, { what: args.file });
    const pem = this.take(await readText(flags.key), { what: flags.key });
    const key = this.take(parsePrivateKey(pem), { what: flags.key });
    const approval = approveBundle(text, key);
    const json = `${JSON.stringify(approval, null, 2)}\n`;
    const written = await writeText(flags.out, json, { replace: true });
    this.take(written, { what: flags.out });
    const { scope, version } = bundle;
    this.log(`approved ${scope} version ${version} by key ${key.id}`);
    return { scope, version, keyId: key.id, digest: approval.digest };
  }
}
