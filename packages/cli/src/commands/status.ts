/** `coltsfootdeal status` */

import type { NodeStatus } from "@coltsfootdeal/node";
import { Flags } from "@oclif/core";
import { fetchAdminPage } from "../admin_client.ts";
import { BaseCommand } from "../base_command.ts";

function formatStatus(status: NodeStatus): string {
  const { instance, service, dataCentre, readiness } = status;
  const ready = readiness.ready ? "ready" : `not ready: ${readiness.reason}`;
  const bundles = status.bundles.map(({ scope, version }) =>
    `${scope}=${version}`
  );
  const gate = JSON.stringify(status.gate);
  return `${instance} (${service}, ${dataCentre}): ${ready}; ` +
    `bundles ${bundles.join(" ") || "none"}; gate ${gate}`;
}

/** Prints the status of nodes. */
export class StatusCommand extends BaseCommand {
  static override summary = "Show the status of nodes.";
  static override flags = {
    node: Flags.string({
      required: true,
      multiple: true,
      summary: "Admin address; may be given several times.",
    }),
  };

  /** Runs the command. */
  async run() {
    const { flags } = await this.parse(StatusCommand);
    const nodes: NodeStatus[] = [];
    for (const node of flags.node) {
      const page = await fetchAdminPage<NodeStatus>(node, "/status");
      const status = this.unwrap(page, { label: "node" });
      nodes.push(status);
      this.log(formatStatus(status));
    }
    return { nodes };
  }
}
