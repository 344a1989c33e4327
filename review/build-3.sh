#!/bin/sh
# Builds the scripts of the third review and their stand-ins.
set -e
cd "$(dirname "$0")/.."
npx --no-install esbuild review/1[1-5]/case.ts --bundle --platform=node \
  --target=node20 --format=esm --outdir=target/review_3 --out-extension:.js=.mjs \
  --outbase=review --log-level=warning
