#!/usr/bin/env bash
# Runs the whole path on loopback: a stand-in platform, the upstreams of two
# deployments, entry hosts, and callers. Stops what it started.
set -euo pipefail
cd "$(dirname "$0")/.."
make --no-print-directory build

entries=${ENTRIES:-3}
rate=${RATE:-600}
duration=${DURATION:-5s}
out=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop EXIT

bin/spindle-standin platform --listen 127.0.0.1:7000 >"$out/platform.log" 2>&1 & pids+=($!)
bin/spindle-standin deployments >"$out/upstreams.log" 2>&1 & pids+=($!)
sleep 0.5
bin/spindle-standin publish --platform http://127.0.0.1:7000

domains=(caruaru petrolina feira-de-santana campina-grande hanoi hai-phong bac-ninh)
targets=()
for i in $(seq 1 "$entries"); do
  port=$((8080 + 10 * i))
  bin/spindled --listen "127.0.0.1:$port" --admin-listen "127.0.0.1:$((port + 1))" \
    --peer-listen "127.0.0.1:$((port + 2))" --operator-listen "127.0.0.1:$((port + 3))" \
    --failure-domain "${domains[$(((i - 1) % ${#domains[@]}))]}" \
    --platform http://127.0.0.1:7000 --log-level debug >"$out/entry-$i.log" 2>&1 & pids+=($!)
  targets+=("http://127.0.0.1:$port")
done
for i in $(seq 1 "$entries"); do
  for _ in $(seq 1 50); do
    curl -fs "http://127.0.0.1:$((8081 + 10 * i))/readyz" >/dev/null && break
    sleep 0.1
  done
done

echo "--- one request and its decisions"
curl -is "http://127.0.0.1:8090/catalogue/lots/42" -H 'X-Request-Id: demo-1'
sleep 0.2
grep -h '"request":"demo-1"' "$out"/entry-*.log
echo "--- load: $rate requests a second for $duration over $entries entry hosts"
bin/spindle-load mix --entry "$(IFS=,; echo "${targets[*]}")" --rate "$rate" --duration "$duration"
echo "logs: $out"
