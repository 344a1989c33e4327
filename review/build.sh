#!/bin/sh
# Checks the stand-ins that the scripts start. They are plain JavaScript for
# Node.js and need no build of their own.
cd "$(dirname "$0")/.." || exit 2
for file in review/lib/*.mjs review/*/play.mjs; do
  node --check "$file" || exit 2
done
