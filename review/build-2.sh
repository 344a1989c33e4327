#!/bin/sh
# Builds the cases 6 to 10 with their stand-ins, the project's own included,
# into target/review_2. Needs node_modules, as the build of the deploy file
# leaves it.
set -e
cd "$(dirname "$0")/.."
npx tsc -b packages/standin
for file in review/[0-9]*/case.ts; do
  number=$(basename "$(dirname "$file")")
  npx esbuild "$file" --bundle --platform=node --target=node20 \
    --conditions=source --format=esm --log-level=warning \
    --outfile="target/review_2/case_$number.mjs" \
    --banner:js="import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);"
done
