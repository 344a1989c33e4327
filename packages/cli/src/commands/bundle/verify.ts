/** `coltsfootdeal bundle verify` */

import process from "node:process";
import {
  type Envelope,
  formatEnvelopeError,
  verifyEnvelope,
} from "@coltsfootdeal/bundle";
import type { NodeStatus } from "@coltsfootdeal/node";
import { Args, Flags } from "@oclif/core";
import { fetchAdminPage } from "../../admin_client.ts";
import { BaseCommand } from "../../base_command.ts";
import { EXIT_NEGATIVE } from "../../exit_codes.ts";
import { readTextFile, readTrustedKeys } from "../../files.ts";

/** A node's bundle in force, compared with the envelope's bundle. */
interface NodeReport {
  readonly node: string;
  /** Whether the bundle in force for the envelope's scope has its digest. */
  readonly inForce: boolean;
  /** Version in force for the envelope's scope; 0 if there is none. */
  readonly version: number;
}

/**
 * Verifies an envelope, which holds a bundle with its approvals, and checks
 * whether nodes have this bundle in force.
 */
export class BundleVerifyCommand extends BaseCommand {
  static override summary =
    "Verify an envelope's signatures, and whether nodes have it in force.";
  static override args = {
    envelope: Args.string({ required: true, description: "Envelope file." }),
  };
  static override flags = {
    trust: Flags.string({
      required: true,
      multiple: true,
      summary: "Public key file or text.",
    }),
    "approvals-required": Flags.integer({ default: 1, min: 1, max: 16 }),
    node: Flags.string({
      multiple: true,
      default: [],
      summary: "Admin address of a node to ask; may be given several times.",
    }),
  };

  private async fetchNodeReport(
    node: string,
    envelope: Envelope,
  ): Promise<NodeReport> {
    const page = await fetchAdminPage<NodeStatus>(node, "/status");
    const status = this.unwrap(page, { label: "node" });
    const { scope } = envelope.bundle;
    const found = status.bundles.find((bundle) => bundle.scope === scope);
    const inForce = found?.digest === envelope.digest;
    return { node, inForce, version: found?.version ?? 0 };
  }

  /**
   * Exits with `EXIT_NEGATIVE` if the envelope is not valid, or if one of the
   * given nodes does not have its bundle in force.
   */
  async run() {
    const { args, flags } = await this.parse(BundleVerifyCommand);
    const path = args.envelope;
    const json = this.unwrap(await readTextFile(path), { label: path });
    const keys = this.unwrap(await readTrustedKeys(flags.trust), {
      label: "trust",
    });
    const approvalsRequired = flags["approvals-required"];
    const verified = verifyEnvelope(json, { keys, approvalsRequired });
    if (verified.isErr()) {
      const error = formatEnvelopeError(verified.error);
      this.log(`not valid: ${error}`);
      process.exitCode = EXIT_NEGATIVE;
      return { valid: false, error };
    }
    const { bundle, digest, signers } = verified.value;
    const { scope, version } = bundle;
    this.log(`valid: ${scope} version ${version}, signed by ${signers}`);
    const nodes: NodeReport[] = [];
    for (const node of flags.node) {
      const report = await this.fetchNodeReport(node, verified.value);
      nodes.push(report);
      const state = report.inForce ? "in force" : "not in force";
      this.log(`${node}: ${state}, version ${report.version}`);
    }
    if (nodes.some(({ inForce }) => !inForce)) process.exitCode = EXIT_NEGATIVE;
    return { valid: true, scope, version, digest, signers, nodes };
  }
}
