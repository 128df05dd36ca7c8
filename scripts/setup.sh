#!/usr/bin/env bash
# Installs the missing build tools, other than Go, from Debian packages.
set -euo pipefail
declare -A package=([spin]=spin [protoc]=protobuf-compiler [make]=make [gcc]=gcc [curl]=curl)
missing=()
for command in "${!package[@]}"; do
  command -v "$command" >/dev/null || missing+=("${package[$command]}")
done
[ "${#missing[@]}" -gt 0 ] || exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
