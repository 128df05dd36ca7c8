#!/usr/bin/env bash
# Compares the policies on real processes: stand-in upstreams, entry hosts, and
# one service per policy over the same upstreams, measured one after the other.
# Further arguments are passed to spindle-load ranking. Stops the processes that it
# started.
set -euo pipefail
cd "$(dirname "$0")/.."
make --no-print-directory build

ip=${IP:-127.32.0.1}
base=${BASE_PORT:-20300}
entries=${ENTRIES:-6}
upstreams=${UPSTREAMS:-6}
mean_ms=${MEAN_MS:-10}
load=${LOAD:-75} # percent of the capacity
rate=$((upstreams * 3 * 1000 * load / (mean_ms * 100)))
platform=http://$ip:$base
out=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop EXIT

bin/spindle-standin platform --listen "$ip:$base" >"$out/platform.log" 2>&1 & pids+=($!)
bin/spindle-standin upstream --host "$ip" --port $((base + 100)) --count "$upstreams" --slots 3 \
  --mean "${mean_ms}ms" --server-sigma 0.714 --request-sigma 0.7 >"$out/upstreams.log" 2>&1 & pids+=($!)
sleep 0.5

members=() urls=()
for i in $(seq 1 "$upstreams"); do
  address=$ip:$((base + 99 + i))
  members+=("{\"id\":\"u$i\",\"address\":\"$address\",\"failure_domain\":\"a\",\"slots\":3,\"max_connections\":200}")
  urls+=("http://$address")
done
services=()
# publish NAME POLICY RETRY publishes a service with the policy.
publish() {
  services+=("$1")
  curl -fs -o /dev/null -X PUT "$platform/v1/config/services/$1" -d '{
    "name": "'"$1"'", "match": {"path_prefix": "/'"$1"'/"},
    "groups": [{"name": "main", "policy": "'"$2"'", "probe": {"slot_time_percent": 2},
      "upstreams": ['"$(IFS=,; echo "${members[*]}")"']}],
    "rules": [{"name": "all", "group": "main", "repeat": "repeatable", "deadline": "500ms", "retry": {'"$3"'}}]}'
}
for p in random round-robin least-outstanding two-choices peak-ewma probe-pool spindle; do
  publish "$p" "$p" '"hedge": "off"'
done
publish least-outstanding-hedge least-outstanding "\"hedge_after\": \"$((3 * mean_ms))ms\""
publish spindle-hedge spindle ''

hosts=() targets=() admins=()
for i in $(seq 1 "$entries"); do
  port=$((base + 10 * i))
  bin/spindled --listen "$ip:$port" --admin-listen "$ip:$((port + 1))" --peer-listen "$ip:$((port + 2))" \
    --operator-listen "$ip:$((port + 3))" --failure-domain a --platform "$platform" --log-level warn \
    >"$out/entry-$i.log" 2>&1 & pids+=($!)
  hosts+=("{\"ip\":\"$ip\",\"peer_address\":\"$ip:$((port + 2))\",\"failure_domain\":\"a\",\"state\":\"live\"}")
  targets+=("http://$ip:$port")
  admins+=("http://$ip:$((port + 1))")
done
curl -fs -o /dev/null -X PUT "$platform/v1/hosts" -d "[$(IFS=,; echo "${hosts[*]}")]"
for a in "${admins[@]}"; do
  for _ in $(seq 1 100); do
    curl -fs "$a/readyz" >/dev/null && break
    sleep 0.1
  done
done
sleep 2 # entry hosts discover each other
echo "$upstreams upstreams of 3 slots, mean $mean_ms ms, $entries entry hosts, $rate requests/s ($load% of the capacity)"
bin/spindle-load ranking --entry "$(IFS=,; echo "${targets[*]}")" --admin "$(IFS=,; echo "${admins[*]}")" \
  --upstream "$(IFS=,; echo "${urls[*]}")" --service "$(IFS=,; echo "${services[*]}")" --rate "$rate" "$@"
echo "logs: $out"
