/** `coltsfootdeal keys new` */

import { createKeyPair } from "@coltsfootdeal/bundle";
import { Flags } from "@oclif/core";
import { BaseCommand } from "../../base_command.ts";
import { writeText } from "../../files.ts";

/** Makes a signing key. */
export class KeysNewCommand extends BaseCommand {
  static override summary = "Make a signing key (ed25519).";
  static override flags = {
    out: Flags.string({
      required: true,
      summary: "Path without ending; writes PATH.key (secret) and PATH.pub.",
    }),
  };

  /** Runs the command. */
  async run() {
    const { flags } = await this.parse(KeysNewCommand);
    const pair = createKeyPair();
    const secret = `${flags.out}.key`;
    const open = `${flags.out}.pub`;
    const written = await writeText(secret, pair.privateKeyPem, {
      secret: true,
    });
    this.take(written, { what: secret });
    const published = await writeText(open, `${pair.publicKeyBase64}\n`);
    this.take(published, { what: open });
    this.log(`key ${pair.id}: ${secret}, ${open}`);
    return { id: pair.id, privateKey: secret, publicKey: open };
  }
}
