#!/usr/bin/env bash
# Measures the overhead of an entry host: alternates between direct requests to an
# upstream without service time and requests through an entry host. With
# OTHER=path/to/spindled a second entry host runs in parallel, so that two builds
# are compared in one run; OTHER_ENV and OTHER_FLAGS are added to its environment
# and flags, and ENTRY_ENV and ENTRY_FLAGS to those of the first. Stops the
# processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
make --no-print-directory build

base=${BASE_PORT:-20100}
platform=127.0.0.1:$base
upstream=127.0.0.1:$((base + 1))
out=$(mktemp -d)
pids=()
ways=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop EXIT

# entry NAME BINARY PORT ENVIRONMENT FLAGS starts an entry host.
entry() {
  local name=$1 binary=$2 port=$3 pid
  # shellcheck disable=SC2086
  env $4 "$binary" --listen "127.0.0.1:$port" --admin-listen "127.0.0.1:$((port + 1))" \
    --peer-listen "127.0.0.1:$((port + 2))" --operator-listen "127.0.0.1:$((port + 3))" \
    --failure-domain a --platform "http://$platform" --log-level warn $5 >"$out/$name.log" 2>&1 &
  pid=$!
  pids+=("$pid")
  for _ in $(seq 1 100); do
    curl -fs -o /dev/null "http://127.0.0.1:$((port + 1))/readyz" && break
    sleep 0.1
  done
  ways+=(--through "$name,http://127.0.0.1:$port/bench/x,$pid,127.0.0.1:$((port + 1))")
}

bin/spindle-standin platform --listen "$platform" >"$out/platform.log" 2>&1 & pids+=($!)
bin/spindle-standin upstream --port $((base + 1)) --slots 1000 --mean 0s >"$out/upstream.log" 2>&1 & pids+=($!)
sleep 0.5
curl -fs -o /dev/null -X PUT "http://$platform/v1/config/services/bench" -d '{
  "name": "bench", "match": {"path_prefix": "/bench/"},
  "groups": [{"name": "main", "upstreams": [{"id": "u1", "address": "'"$upstream"'", "failure_domain": "a", "slots": 1000, "max_connections": 1000}]}],
  "rules": [{"name": "all", "group": "main", "repeat": "repeatable", "deadline": "5s"}]}'
entry entry bin/spindled $((base + 10)) "${ENTRY_ENV:-}" "${ENTRY_FLAGS:-}"
if [ -n "${OTHER:-}" ]; then
  entry other "$OTHER" $((base + 20)) "${OTHER_ENV:-}" "${OTHER_FLAGS:-}"
fi
bin/spindle-load compare --direct "http://$upstream/bench/x" "${ways[@]}" "$@"
