#!/usr/bin/env bash
# Measures the overhead of TLS: two entry hosts in front of one upstream without
# service time, one plaintext and one that uses TLS with callers, interleaved in one run.
# Stops the processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
make --no-print-directory build

base=${BASE_PORT:-20200}
ip=${BENCH_IP:-127.0.0.1}
platform=$ip:$base
upstream=$ip:$((base + 1))
plaintext=$ip:$((base + 2))
secure=$ip:$((base + 3))
out=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop EXIT

openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -days 1 -subj /CN=bench \
  -addext "subjectAltName=IP:$ip" -keyout "$out/key.pem" -out "$out/cert.pem" 2>/dev/null
bin/spindle-standin platform --listen "$platform" >"$out/platform.log" 2>&1 & pids+=($!)
bin/spindle-standin upstream --host "$ip" --port $((base + 1)) --slots 1000 --mean 0s >"$out/upstream.log" 2>&1 & pids+=($!)
sleep 0.5
curl -fs -o /dev/null -X PUT "http://$platform/v1/config/services/bench" -d '{
  "name": "bench", "match": {"path_prefix": "/bench/"},
  "groups": [{"name": "main", "upstreams": [{"id": "u1", "address": "'"$upstream"'", "failure_domain": "a", "slots": 1000, "max_connections": 1000}]}],
  "rules": [{"name": "all", "group": "main", "repeat": "repeatable", "deadline": "5s"}]}'

# entry LISTEN PORT FLAGS... starts an entry host; its other listeners use PORT and the
# next two ports.
entry() {
  local listen=$1 port=$2
  shift 2
  bin/spindled --listen "$listen" --admin-listen "$ip:$port" --peer-listen "$ip:$((port + 1))" \
    --operator-listen "$ip:$((port + 2))" --failure-domain a --platform "http://$platform" --log-level warn "$@" \
    >"$out/entry-$port.log" 2>&1 & pids+=($!)
  entry_pid=$!
  for _ in $(seq 1 50); do
    curl -fs "http://$ip:$port/readyz" >/dev/null && break
    sleep 0.1
  done
}
entry "$plaintext" $((base + 10))
entry "$secure" $((base + 20)) --caller-tls-cert "$out/cert.pem" --caller-tls-key "$out/key.pem"
echo "direct is the plaintext entry host, through is the one that uses TLS with callers"
SSL_CERT_FILE="$out/cert.pem" bin/spindle-load compare --direct "http://$plaintext/bench/x" \
  --through "https://$secure/bench/x" --entry-pid "$entry_pid" "$@"
