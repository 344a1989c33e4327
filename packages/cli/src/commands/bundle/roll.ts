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
import { readBundleFile, readText, readTrust, writeText } from "../../files.ts";

/** Packs a bundle and its approvals for the platform. */
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
      const json = this.take(await readText(path), { what: path });
      approvals.push(this.take(parseApproval(json), { what: path }));
    }
    return approvals;
  }

  private async checkOrder(bundle: Bundle, previous: string | undefined) {
    if (previous === undefined) return;
    const file = await readBundleFile(previous);
    const before = this.take(file, { what: previous }).bundle;
    if (before.scope !== bundle.scope) {
      this.fail(`scope: expected ${before.scope}, found ${bundle.scope}`);
    }
    if (before.version >= bundle.version) {
      const above = `expected above ${before.version}`;
      this.fail(`version: ${above}, found ${bundle.version}`);
    }
  }

  /** Runs the command. */
  async run() {
    const { args, flags } = await this.parse(BundleRollCommand);
    const file = await readBundleFile(args.file);
    const { text, bundle } = this.take(file, { what: args.file });
    await this.checkOrder(bundle, flags.previous);
    const approvals = await this.readApprovals(flags.approval);
    const envelope = serializeEnvelope(text, approvals);
    const keys = this.take(await readTrust(flags.trust), { what: "trust" });
    const approvalsRequired = flags["approvals-required"];
    const opened = verifyEnvelope(envelope, { keys, approvalsRequired });
    if (opened.isErr()) return this.fail(formatEnvelopeError(opened.error));
    const written = await writeText(flags.out, envelope, { replace: true });
    this.take(written, { what: flags.out });
    const { scope, version } = bundle;
    const key = `bundles/${scope}`;
    this.log(`wrote ${flags.out}; publish it on the platform as ${key}`);
    const { digest, signers } = opened.value;
    return { scope, version, digest, signers, key, envelope: flags.out };
  }
}
