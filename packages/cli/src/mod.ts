/** Commands of the command line, by name. */

import { AuditCommand } from "./commands/audit.ts";
import { BundleApproveCommand } from "./commands/bundle/approve.ts";
import { BundleCheckCommand } from "./commands/bundle/check.ts";
import { BundleDiffCommand } from "./commands/bundle/diff.ts";
import { BundleRollCommand } from "./commands/bundle/roll.ts";
import { BundleVerifyCommand } from "./commands/bundle/verify.ts";
import { CallCommand } from "./commands/call.ts";
import { KeysNewCommand } from "./commands/keys/new.ts";
import { SettingsCheckCommand } from "./commands/settings/check.ts";
import { StatusCommand } from "./commands/status.ts";

/** All commands; oclif loads this export by its name. */
export const COMMANDS = {
  audit: AuditCommand,
  "bundle:approve": BundleApproveCommand,
  "bundle:check": BundleCheckCommand,
  "bundle:diff": BundleDiffCommand,
  "bundle:roll": BundleRollCommand,
  "bundle:verify": BundleVerifyCommand,
  call: CallCommand,
  "keys:new": KeysNewCommand,
  "settings:check": SettingsCheckCommand,
  status: StatusCommand,
};
