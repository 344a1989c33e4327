/** `coltsfootdeal audit` */

import type { AuditRecord } from "@coltsfootdeal/node";
import { Flags } from "@oclif/core";
import { fetchAdminPage } from "../admin_client.ts";
import { BaseCommand } from "../base_command.ts";

const FOLLOW_POLL_PERIOD_MS = 1_000;

/** An audit record and the address of the node that wrote it. */
interface NodeRecord extends AuditRecord {
  readonly node: string;
}

/** Prints the audit trails of nodes. */
export class AuditCommand extends BaseCommand {
  static override summary = "Show the audit trail of nodes.";
  static override flags = {
    node: Flags.string({
      required: true,
      multiple: true,
      summary: "Admin address; may be given several times.",
    }),
    follow: Flags.boolean({ summary: "Go on until interrupted." }),
  };
  /** Sequence number of the last record read, by node. */
  private readonly lastSequences = new Map<string, number>();

  /**
   * Fetches the records since the last call from the admin endpoint `/audit` of
   * each node, and sorts them by time.
   */
  private async fetchNewRecords(nodes: readonly string[]) {
    const records: NodeRecord[] = [];
    for (const node of nodes) {
      const after = this.lastSequences.get(node) ?? 0;
      const result = await fetchAdminPage<{ readonly records: AuditRecord[] }>(
        node,
        `/audit?after=${after}`,
      );
      // Once a node has answered, failed fetches (the node is unreachable, does
      // not answer in time or not in JSON) are skipped silently, so that the
      // others are still followed. A failed first fetch ends the command.
      if (result.isErr() && this.lastSequences.has(node)) continue;
      const newRecords = this.unwrap(result, { label: "node" }).records;
      this.lastSequences.set(node, newRecords.at(-1)?.sequence ?? after);
      records.push(...newRecords.map((record) => ({ node, ...record })));
    }
    return records.sort((a, b) => a.time.localeCompare(b.time));
  }

  private printRecords(records: readonly NodeRecord[]): void {
    for (const record of records) {
      const fields = JSON.stringify(record.fields);
      this.log(`${record.time} ${record.node} ${record.event} ${fields}`);
    }
  }

  private async follow(nodes: readonly string[]): Promise<never> {
    for (;;) {
      const records = await this.fetchNewRecords(nodes);
      if (!this.jsonEnabled()) this.printRecords(records);
      else for (const record of records) this.logJson(record);
      await new Promise((resolve) =>
        setTimeout(resolve, FOLLOW_POLL_PERIOD_MS)
      );
    }
  }

  /** Runs the command. */
  async run() {
    const { flags } = await this.parse(AuditCommand);
    if (flags.follow) return await this.follow(flags.node);
    const records = await this.fetchNewRecords(flags.node);
    this.printRecords(records);
    return { records };
  }
}
