#!/usr/bin/env bash
# Plays case 2. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-2 ] || [ ! -x target/spindled-platform ]; then
  bash review/build.sh || exit 2
fi
exec target/review-2 target/spindled-platform review/2/record.txt
