/** `coltsfootdeal bundle roll` */

import {
  type Approval,
  type Bundle,
  formatEnvelopeError,
  parseApproval,
  serializeEnvelope,
  verifyEnvelope,
} from "@coltsfootdeal/bundle";
import { Args, Flags } from "@oclif/core";
import { BaseCommand } from "../../base_command.ts";
import {
  readBundleFile,
  readTextFile,
  readTrustedKeys,
  writeTextFile,
} from "../../files.ts";

/** Writes the envelope of a bundle and its approvals, ready to publish. */
export class BundleRollCommand extends BaseCommand {
  static override summary =
    "Pack a bundle with its approvals into the envelope to publish.";
  static override args = {
    file: Args.string({ required: true, description: "Bundle in INI." }),
  };
  static override flags = {
    approval: Flags.string({
      required: true,
      multiple: true,
      summary: "Approval file; may be given several times.",
    }),
    trust: Flags.string({
      required: true,
      multiple: true,
      summary: "Public key file or text that the nodes trust.",
    }),
    "approvals-required": Flags.integer({ default: 1, min: 1, max: 16 }),
    previous: Flags.string({
      summary: "Envelope that is published now; the version must be higher.",
    }),
    out: Flags.string({ required: true, summary: "Envelope file to write." }),
  };

  private async readApprovals(paths: readonly string[]) {
    const approvals: Approval[] = [];
    for (const path of paths) {
      const json = this.unwrap(await readTextFile(path), { label: path });
      approvals.push(this.unwrap(parseApproval(json), { label: path }));
    }
    return approvals;
  }

  /** Fails unless the bundle has the previous one's scope, and a newer version. */
  private async checkSupersedes(bundle: Bundle, previous: string | undefined) {
    if (previous === undefined) return;
    const file = await readBundleFile(previous);
    const previousBundle = this.unwrap(file, { label: previous }).bundle;
    if (previousBundle.scope !== bundle.scope) {
      this.fail(
        `scope: expected ${previousBundle.scope}, found ${bundle.scope}`,
      );
    }
    if (previousBundle.version >= bundle.version) {
      const above = `expected above ${previousBundle.version}`;
      this.fail(`version: ${above}, found ${bundle.version}`);
    }
  }

  /** Runs the command. */
  async run() {
    const { args, flags } = await this.parse(BundleRollCommand);
    const file = await readBundleFile(args.file);
    const { text, bundle } = this.unwrap(file, { label: args.file });
    await this.checkSupersedes(bundle, flags.previous);
    const approvals = await this.readApprovals(flags.approval);
    const envelope = serializeEnvelope(text, approvals);
    const keys = this.unwrap(await readTrustedKeys(flags.trust), {
      label: "trust",
    });
    const approvalsRequired = flags["approvals-required"];
    const verified = verifyEnvelope(envelope, { keys, approvalsRequired });
    if (verified.isErr()) return this.fail(formatEnvelopeError(verified.error));
    const written = await writeTextFile(flags.out, envelope, {
      overwrite: true,
    });
    this.unwrap(written, { label: flags.out });
    const { scope, version } = bundle;
    const key = `bundles/${scope}`;
    this.log(`wrote ${flags.out}; publish it on the platform as ${key}`);
    const { digest, signers } = verified.value;
    return { scope, version, digest, signers, key, envelope: flags.out };
  }
}
