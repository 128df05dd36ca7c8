#!/usr/bin/env bash
# Checks each specification below spec/ with spin and prints its state count.
# A specification names its broken twins on a line " * broken: MACRO ...";
# each must be caught. Arguments: the specifications to check; default: all.
set -euo pipefail
cd "$(dirname "$0")"
spec_dir=$PWD
seconds=${SPEC_SECONDS:-120}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# verify SPEC [MACRO] prints "states errors".
verify() {
  local dir="$work/${1%.pml}${2:-}"
  mkdir -p "$dir"
  (
    cd "$dir"
    spin ${2:+-D"$2"} -a "$spec_dir/$1" >log && gcc -w -O1 -DSAFETY -o pan pan.c 2>>log &&
      timeout "$seconds" ./pan -m1000000 >pan.log
  ) || { echo "$1 ${2:-}: could not be checked" >&2; cat "$dir"/*log >&2; return 1; }
  awk '/states, stored/ { s = $1 } /errors:/ { e = $NF }
    /max search depth too small|out of memory|aborted/ { bad = 1 }
    END { print s, (bad ? "incomplete" : e) }' "$dir/pan.log"
}

status=0
if [ $# -eq 0 ]; then set -- *.pml; fi
for spec in "$@"; do
  spec=$(basename "$spec")
  read -r states errors < <(verify "$spec")
  echo "$spec: $states states, $errors errors"
  [ "$errors" = 0 ] || { echo "  FAILED"; status=1; }
  for twin in $(sed -n 's/^ \* broken: //p' "$spec"); do
    read -r states errors < <(verify "$spec" "$twin")
    if [ "$errors" != 0 ] && [ "$errors" != incomplete ] && [ -n "$errors" ]; then
      echo "  broken twin $twin: caught after $states states"
    else
      echo "  broken twin $twin: NOT CAUGHT ($states states)"
      status=1
    fi
  done
done
exit "$status"
