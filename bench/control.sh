#!/usr/bin/env bash
# Measures the cost of control traffic in real serve processes.
# Usage: bench/control.sh OUT.csv SIZE...
# For each SIZE, starts the stand-ins and SIZE instances on loopback, waits
# SETTLE seconds until they are in a steady state, samples them for SAMPLE
# seconds, and stops the processes it started.
set -euo pipefail
cd "$(dirname "$0")/.."
out=$1
shift
settle=${SETTLE:-12}
sample=${SAMPLE:-20}
work=$(mktemp -d)
pids=()
cleanup() {
  kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT
go build -o "$work/" ./cmd/... ./bench
echo "instances,cpu_mean_percent,cpu_max_percent,rss_mean_mb,rss_max_mb,control_mean_bytes_per_s,control_max_bytes_per_s,store_calls_per_s,platform_in,platform_out,engine_in,engine_out,peer_in,peer_out" > "$out"

start() { "$@" 2>>"$work/log" & pids+=($!); }

for size in "$@"; do
  pids=()
  start "$work/eiderspring-standin" platform --listen 127.0.0.1:20000 --loads-per-second 50
  sleep 0.5
  for i in $(seq 0 11); do
    start "$work/eiderspring-standin" engine --listen 127.0.0.1:$((20100 + i)) --platform http://127.0.0.1:20000 \
      --name tideline-llm-$i --pool tideline-llm --failure-domain pnw-quincy --checks-fencing
  done
  start "$work/eiderspring-standin" service --listen 127.0.0.1:20200 --platform http://127.0.0.1:20000 \
    --name desk-gateway-0 --pool desk-gateway --failure-domain pnw-quincy
  # A high load rate, so that the sample shows the steady state.
  sed "s/\"loadsPerSecond\": 1.4/\"loadsPerSecond\": 50/" examples/tideline.jsonc > "$work/settings.jsonc"
  "$work/eiderspring" settings apply --object-api http://127.0.0.1:20000 --author bench "$work/settings.jsonc" >/dev/null
  args=()
  for i in $(seq 0 $((size - 1))); do
    cat > "$work/entry-$i.jsonc" <<EOF
{
  "instance": "entry-$i", "incarnation": "1", "failureDomain": "pnw-quincy",
  "callers": "127.0.0.1:$((21000 + i))", "operators": "127.0.0.1:$((22000 + i))",
  "platform": {"objectAPI": "http://127.0.0.1:20000", "members": "http://127.0.0.1:20000"},
  "peers": {"datagrams": "127.0.0.1:$((23000 + i))", "streams": "127.0.0.1:$((24000 + i))",
            "keys": ["000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"]},
}
EOF
    "$work/eiderspring-standin" member --platform http://127.0.0.1:20000 --name entry-$i --address 127.0.0.1:$((21000 + i)) \
      --peer-port $((23000 + i)) --stream-port $((24000 + i)) --failure-domain pnw-quincy
    start "$work/eiderspring" serve --config "$work/entry-$i.jsonc"
    args+=(--pid ${pids[-1]} --operators 127.0.0.1:$((22000 + i)))
  done
  sleep "$settle"
  "$work/bench" sample "${args[@]}" --duration "${sample}s" | tee -a "$out"
  kill "${pids[@]}"
  wait "${pids[@]}" 2>/dev/null || true
done
