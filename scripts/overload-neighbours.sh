#!/usr/bin/env bash
# Prints goodput and latency at twice the capacity for neighbouring values of the
# constants of pkg/limit and pkg/queue, each changed separately in a scratch copy.
set -euo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
mkdir "$scratch/base"
git ls-files -co --exclude-standard -z | xargs -0 cp --parents -t "$scratch/base"

# run FILE CONSTANT VALUE measures a copy of the tree in which CONSTANT has VALUE.
run() {
  local dir="$scratch/$2-$3"
  cp -r "$scratch/base" "$dir"
  sed -i -E "s/^(\s*(const )?$2\s+= ).*/\1$3/" "$dir/$1"
  grep -qE "^\s*(const )?$2\s+= $3$" "$dir/$1" || { echo "$2 not found" >&2; return 1; }
  (cd "$dir" && MEASURE=1 go test -count=1 -run TestMeasureNeighbours -v ./internal/proxy) \
    | grep 'goodput' | sed "s/^/$(printf '%-18s %-5s' "$2" "$3") /"
  rm -rf "$dir"
}

limit=pkg/limit/limit.go
queue=pkg/queue/queue.go
for v in 1.5 1.75 2.0 2.5; do run $limit PressureTolerance $v; done
for v in 1.25 1.5 2.0; do run $limit Tolerance $v; done
for v in 2.0 4.0 8.0; do run $limit GuardTolerance $v; done
for v in 0.8 0.9 0.95; do run $limit Backoff $v; done
for v in 0.5 1.0 2.0; do run $limit Growth $v; done
for v in 16 32 64; do run $limit WindowSamples $v; done
for v in 32 64 128; do run $limit RelearnEvery $v; done
for v in 0 0.5 1; do run $limit Headroom $v; done
for v in 8 16 32; do run $queue FairEvery $v; done
for v in 1 2 4; do run $queue waitShare $v; done
