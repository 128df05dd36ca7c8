#!/usr/bin/env bash
# Checks each specification below spec/ with spin and prints its state count.
# A specification names its broken variants on a line " * broken: MACRO ..."; the
# search must be complete and without error, and an assertion must fail in
# each variant. Arguments: the specifications to check; default: all.
# SPEC_SECONDS bounds one search, in seconds.
set -euo pipefail
cd "$(dirname "$0")"
spec_dir=$PWD
seconds=${SPEC_SECONDS:-120}
max_depth=1000000 # steps
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# search SPEC [MACRO] prints "STATES VERDICT". The verdict is pass, assertion
# (one failed), error (any other) or incomplete.
search() {
  local dir="$work/${1%.pml}-${2:-good}"
  mkdir "$dir"
  (
    cd "$dir"
    spin ${2:+-D"$2"} -a "$spec_dir/$1" >spin.log &&
      gcc -w -O2 -DSAFETY -DCOLLAPSE -o pan pan.c &>gcc.log &&
      timeout "$seconds" ./pan -m"$max_depth" &>pan.log
  ) || { echo "$1 ${2:-}: could not be checked" >&2; cat "$dir"/*.log >&2; return 1; }
  awk '
    /states, stored/ { states = $1 }
    /errors:/ { errors = $NF }
    /assertion violated/ { assertion = 1 }
    /max search depth too small|out of memory|aborted/ { cut = 1 }
    END {
      if (assertion) verdict = "assertion"
      else if (errors != "" && errors != 0) verdict = "error"
      else if (cut || errors == "" || states == "") verdict = "incomplete"
      else verdict = "pass"
      print states + 0, verdict
    }' "$dir/pan.log"
}

# expect VERDICT SPEC [MACRO] makes one search and prints how it ended.
expect() {
  local want=$1 states verdict
  shift
  read -r states verdict < <(search "$@") || true
  printf '%-24s %-12s %9s states  %s\n' "$1" "${2:-good}" "${states:-0}" "${verdict:-not checked}"
  [ "${verdict:-}" = "$want" ] || { echo "  FAILED: $want was expected"; return 1; }
}

status=0
if [ $# -eq 0 ]; then set -- *.pml; fi
for spec in "$@"; do
  spec=$(basename "$spec")
  expect pass "$spec" || status=1
  variants=$(sed -n 's/^ \* broken: //p' "$spec")
  [ -n "$variants" ] || { echo "$spec names no broken variant"; status=1; }
  for variant in $variants; do
    expect assertion "$spec" "$variant" || status=1
  done
done
exit "$status"
