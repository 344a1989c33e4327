#!/usr/bin/env node
/** The binary `coltsfootdeal`. */

import { execute } from "@oclif/core";

await execute({ dir: import.meta.url });
