/** Enables roarr, which reads this variable when its module is loaded. */

import process from "node:process";

process.env.ROARR_LOG ??= "true";
