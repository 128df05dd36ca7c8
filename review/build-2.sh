#!/bin/sh
# Builds the stand-ins of the cases 4 to 8, for their scripts. The program itself is built as deploy/system.toml says.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-fleet ./review/fleet
