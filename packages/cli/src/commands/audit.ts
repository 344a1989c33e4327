/** `coltsfootdeal audit` */

import type { AuditRecord } from "@coltsfootdeal/node";
import { Flags } from "@oclif/core";
import { readPage } from "../admin_client.ts";
import { BaseCommand } from "../base_command.ts";

const FOLLOW_PERIOD_MS = 1_000;

/** A record and the node that it is from. */
interface NodeRecord extends AuditRecord {
  readonly node: string;
}

/** Shows nodes' audit trails. */
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
  private readonly seen = new Map<string, number>();

  private async readNew(nodes: readonly string[]) {
    const records: NodeRecord[] = [];
    for (const node of nodes) {
      const after = this.seen.get(node) ?? 0;
      const page = await readPage<{ readonly records: AuditRecord[] }>(
        node,
        `/audit?after=${after}`,
      );
      // A node that is gone is passed over while others are followed.
      if (page.isErr() && this.seen.has(node)) continue;
      const read = this.take(page, { what: "node" }).records;
      this.seen.set(node, read.at(-1)?.sequence ?? after);
      records.push(...read.map((record) => ({ node, ...record })));
    }
    return records.sort((a, b) => a.time.localeCompare(b.time));
  }

  private show(records: readonly NodeRecord[]): void {
    for (const record of records) {
      const fields = JSON.stringify(record.fields);
      this.log(`${record.time} ${record.node} ${record.event} ${fields}`);
    }
  }

  private async follow(nodes: readonly string[]): Promise<never> {
    for (;;) {
      const records = await this.readNew(nodes);
      if (!this.jsonEnabled()) this.show(records);
      else for (const record of records) this.logJson(record);
      await new Promise((resolve) => setTimeout(resolve, FOLLOW_PERIOD_MS));
    }
  }

  /** Runs the command. */
  async run() {
    const { flags } = await this.parse(AuditCommand);
    if (flags.follow) return await this.follow(flags.node);
    const records = await this.readNew(flags.node);
    this.show(records);
    return { records };
  }
}
