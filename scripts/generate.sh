#!/usr/bin/env bash
# Generates Go code from the published schema files in api/.
set -euo pipefail
cd "$(dirname "$0")/.."
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
go build -o "$tools/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
go build -o "$tools/protoc-gen-go-grpc" google.golang.org/grpc/cmd/protoc-gen-go-grpc
find api -name '*.proto' -print0 | sort -z | while IFS= read -r -d '' f; do
  PATH="$tools:$PATH" protoc -I api --go_out=api --go_opt=paths=source_relative \
    --go-grpc_out=api --go-grpc_opt=paths=source_relative "$f"
done
