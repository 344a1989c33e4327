#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves out the disruption and changes nothing else.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}" RECORD=review/7/record.txt \
  exec node target/review_2/case_7.mjs
