#!/usr/bin/env bash
# Builds the program as deploy/system.toml says, and the stand-ins of the review's cases.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/spindled-platform
for case in review/[0-9]; do
  if [ -f "$case/main.go" ]; then
    go build -o "target/review-$(basename "$case")" "./$case"
  fi
done
