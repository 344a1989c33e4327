/** Service registry (micro-kernel), serial tasks and clocks. */

export * from "./clock.ts";
export * from "./kernel.ts";
export * from "./task.ts";
