#!/usr/bin/env bash
# Runs a complete installation on loopback: a stand-in platform, the upstreams of
# the two reference deployments, entry hosts, and callers. Stops the processes that
# it started.
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
hosts=()
for i in $(seq 1 "$entries"); do
  port=$((8080 + 10 * i))
  bin/spindled --listen "127.0.0.1:$port" --admin-listen "127.0.0.1:$((port + 1))" \
    --peer-listen "127.0.0.1:$((port + 2))" --operator-listen "127.0.0.1:$((port + 3))" \
    --failure-domain "${domains[$(((i - 1) % ${#domains[@]}))]}" \
    --max-entry-hosts $((entries + 1)) --platform http://127.0.0.1:7000 --log-level debug >"$out/entry-$i.log" 2>&1 & pids+=($!)
  hosts+=("{\"ip\":\"127.0.0.1\",\"peer_address\":\"127.0.0.1:$((port + 2))\",\"failure_domain\":\"${domains[$(((i - 1) % ${#domains[@]}))]}\",\"state\":\"live\"}")
  targets+=("http://127.0.0.1:$port")
done
curl -fs -X PUT "http://127.0.0.1:7000/v1/hosts" -d "[$(IFS=,; echo "${hosts[*]}")]"
for i in $(seq 1 "$entries"); do
  for _ in $(seq 1 50); do
    curl -fs "http://127.0.0.1:$((8081 + 10 * i))/readyz" >/dev/null && break
    sleep 0.1
  done
done

echo "--- the entry hosts"
bin/spindlectl status --server 127.0.0.1:8093
echo "--- one request, and the decisions that routed it"
curl -is "http://127.0.0.1:8090/catalogue/lots/42" -H 'X-Request-Id: demo-1'
sleep 0.2
bin/spindlectl explain demo-1 --server 127.0.0.1:8093
echo "--- one action through another entry host: a ticket, the action, and its repeated request"
last=$((8080 + 10 * entries))
ticket=$(curl -s -o /dev/null -D - -X POST "http://127.0.0.1:8090/ledger/sale" | tr -d '\r' | sed -n 's/^Dapplespindle-Ticket: //p')
for _ in 1 2; do
  curl -is -X POST "http://127.0.0.1:$last/ledger/sale" -H "Idempotency-Key: $ticket" -H 'X-Action: demo-sale' |
    grep -iE '^(HTTP|Dapplespindle-(Outcome|Upstream))' | tr -d '\r' | paste -sd' '
done
echo "recorded: $(for p in $(seq 9201 9208); do curl -s "http://127.0.0.1:$p/_ledger"; done | grep -o '"demo-sale":[0-9]*' | paste -sd' ')"
echo "--- live decisions under load: $rate requests per second for $duration over $entries entry hosts"
bin/spindlectl watch --server 127.0.0.1:8093 --count 12 & pids+=($!)
bin/spindle-load mix --entry "$(IFS=,; echo "${targets[*]}")" --rate "$rate" --duration "$duration"
probes=0
for i in $(seq 1 "$entries"); do
  n=$(curl -s "http://127.0.0.1:$((8081 + 10 * i))/metrics" | awk '$1 ~ /events.count.probe-sent/ {s += $2} END {print s + 0}')
  probes=$((probes + n))
done
# 66 upstreams with 3 slots, 1% of slot time, 6 ms per probe: 5 probes per second each.
echo "probes: $probes; the budget allows $((66 * 5)) per second over all entry hosts"
stop
pids=()
echo "--- overhead of one entry host: direct requests and requests through it, alternating"
scripts/bench-wire.sh --rounds 3 --shares 0.1 --idle 0
echo "logs: $out"
