#!/usr/bin/env bash
# Checks the specification of configuration order. It fails if the
# specification has an error, or if a broken twin has none.
set -euo pipefail
cd "$(dirname "$0")"
spec=$PWD/config_order.pml
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# run NAME FLAGS... prints the verdict of one search.
run() {
  local name=$1
  shift
  mkdir "$work/$name"
  (
    cd "$work/$name"
    spin -a "$@" "$spec" >spin.log
    gcc -w -O2 -DSAFETY -DCOLLAPSE -o pan pan.c
    ./pan -m200000 >pan.log 2>&1 || true
  )
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$work/$name/pan.log")
  states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$work/$name/pan.log")
  if grep -qE 'max search depth too small|out of memory|Search not completed' "$work/$name/pan.log"; then
    complete=no
  else
    complete=yes
  fi
  echo "config_order $name: states $states errors $errors complete $complete"
}

failed=0
run good
if [ "$errors" != 0 ] || [ "$complete" != yes ]; then
  failed=1
fi
for twin in NAIVE FIRST ALONE; do
  run "$twin" "-D$twin"
  if [ "$errors" = 0 ]; then
    echo "the broken twin $twin was not caught"
    failed=1
  fi
done
exit $failed
