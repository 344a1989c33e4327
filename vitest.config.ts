import { defineConfig } from "vitest/config";

export default defineConfig({
  test: {
    include: [
      "packages/*/src/**/__tests__/*_test.ts",
      "platform/src/**/__tests__/*_test.ts",
      "playground/src/**/__tests__/*_test.ts",
    ],
    setupFiles: ["./vitest.setup.ts"],
    // Scenarios run in virtual time: this only ends a test that hangs, also on a
    // machine that is several times oversubscribed.
    testTimeout: 300_000,
    hookTimeout: 60_000,
  },
});
