#!/usr/bin/env bash
# Measures what one entry host adds: one upstream without service time, one
# entry host, direct and through it, interleaved. Stops what it started.
set -euo pipefail
cd "$(dirname "$0")/.."
make --no-print-directory build

base=${BASE_PORT:-20100}
platform=127.0.0.1:$base
upstream=127.0.0.1:$((base + 1))
entry=127.0.0.1:$((base + 2))
admin=127.0.0.1:$((base + 3))
out=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop EXIT

bin/spindle-standin platform --listen "$platform" >"$out/platform.log" 2>&1 & pids+=($!)
bin/spindle-standin upstream --port $((base + 1)) --slots 1000 --mean 0s >"$out/upstream.log" 2>&1 & pids+=($!)
sleep 0.5
curl -fs -o /dev/null -X PUT "http://$platform/v1/config/services/bench" -d '{
  "name": "bench", "match": {"path_prefix": "/bench/"},
  "groups": [{"name": "main", "upstreams": [{"id": "u1", "address": "'"$upstream"'", "failure_domain": "a", "slots": 1000, "max_connections": 1000}]}],
  "rules": [{"name": "all", "group": "main", "repeat": "repeatable", "deadline": "5s"}]}'
bin/spindled --listen "$entry" --admin-listen "$admin" --failure-domain a \
  --platform "http://$platform" --log-level warn >"$out/entry.log" 2>&1 & pids+=($!)
entry_pid=$!
for _ in $(seq 1 50); do
  curl -fs "http://$admin/readyz" >/dev/null && break
  sleep 0.1
done
bin/spindle-load compare --direct "http://$upstream/bench/x" --through "http://$entry/bench/x" \
  --entry-pid "$entry_pid" "$@"
