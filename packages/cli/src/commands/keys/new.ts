/** `coltsfootdeal keys new` */

import { createKeyPair } from "@coltsfootdeal/bundle";
import { Flags } from "@oclif/core";
import { BaseCommand } from "../../base_command.ts";
import { writeTextFile } from "../../files.ts";

/** Generates a signing key pair; existing files are not overwritten. */
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
    const privateKeyPath = `${flags.out}.key`;
    const publicKeyPath = `${flags.out}.pub`;
    const privateKeyWritten = await writeTextFile(
      privateKeyPath,
      pair.privateKeyPem,
      { ownerOnly: true },
    );
    this.unwrap(privateKeyWritten, { label: privateKeyPath });
    const publicKeyWritten = await writeTextFile(
      publicKeyPath,
      `${pair.publicKeyBase64}\n`,
    );
    this.unwrap(publicKeyWritten, { label: publicKeyPath });
    this.log(`key ${pair.id}: ${privateKeyPath}, ${publicKeyPath}`);
    return {
      id: pair.id,
      privateKey: privateKeyPath,
      publicKey: publicKeyPath,
    };
  }
}
