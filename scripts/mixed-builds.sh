#!/usr/bin/env bash
# Runs the tests that start processes with a mix of two versions: every second process runs
# the other version, as during a rolling update. Usage: mixed-builds.sh REVISION
set -euo pipefail
cd "$(dirname "$0")/.."
revision=${1:?revision of the other version}
other=$(mktemp -d)
trap 'rm -rf "$other"' EXIT
git archive "$revision" | tar -x -C "$other"
(cd "$other" && mkdir bin && CGO_ENABLED=1 go build -o bin/ ./cmd/...)
OTHER_BUILD="$other/bin" go test $(scripts/known-red.sh skip) -count=1 -p 1 ./test/e2e ./platform/soak
