#!/usr/bin/env bash
# Checks spec/leaving.pml; its broken twin must be caught.
set -euo pipefail
spec=$(cd "$(dirname "$0")/.." && pwd)/spec/leaving.pml
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

check() {
  spin -a "$@" "$spec" >/dev/null
  gcc -O2 -w -DSAFETY -DCOLLAPSE -o pan pan.c
  ./pan -m100000
}

check > sound.txt
grep -E 'errors:|states, stored' sound.txt
grep -q 'errors: 0' sound.txt
if grep -q 'max search depth too small' sound.txt; then
  echo "leaving: the search was cut off" >&2
  exit 1
fi
check -DLAST_WINS > broken.txt
grep -q 'assertion violated' broken.txt || { echo "leaving: the broken twin passed" >&2; exit 1; }
echo "leaving: the broken twin is caught"
