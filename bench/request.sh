#!/usr/bin/env bash
# Measures the request path of one real serve process: processor time for each
# request and token, and memory when idle and with 200 streams.
# Usage: bench/request.sh
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
cleanup() {
  kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT
go build -o "$work/" ./cmd/... ./bench
start() { "$@" 2>>"$work/log" & pids+=($!); }
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss() { awk '/VmRSS/ {printf "%.1f", $2 / 1024}' "/proc/$1/status"; }

start "$work/eiderspring-standin" platform --listen 127.0.0.1:20000 --loads-per-second 50
sleep 0.5
for i in 0 1; do
  start "$work/eiderspring-standin" engine --listen 127.0.0.1:2010$i --platform http://127.0.0.1:20000 \
    --name llm-$i --pool llm --failure-domain a --checks-fencing --concurrency 256
done
for i in 0 1 2; do
  start "$work/eiderspring-standin" service --listen 127.0.0.1:2020$i --platform http://127.0.0.1:20000 \
    --name web-$i --pool web --failure-domain a --latency 1ms
done
token=bench-token
hash=$(printf %s "$token" | sha256sum | cut -d' ' -f1)
cat > "$work/settings.jsonc" <<EOF
{
  "deployment": "bench", "failureDomains": ["a"], "weightStore": {"loadsPerSecond": 50, "concurrent": 10},
  "pools": {
    "llm": {"kind": "engine", "endpoints": 2, "memoryMB": 81920, "checksFencing": true, "concurrency": 256,
            "policy": {"replicas": 2}, "models": {"m": {"weightsMB": 1000, "kvMB": 1000}}},
    "web": {"kind": "plain", "endpoints": 3, "concurrency": 256},
  },
  "services": {"ping": {"pool": "web"}, "confirm": {"pool": "web", "policy": {"repeatable": false}}},
  "callers": {"bench": {"tokenSHA256": ["$hash"], "services": ["*"]}},
}
EOF
"$work/eiderspring" settings apply --object-api http://127.0.0.1:20000 --author bench "$work/settings.jsonc" >/dev/null
cat > "$work/entry.jsonc" <<EOF
{
  "instance": "entry-0", "incarnation": "1", "failureDomain": "a",
  "callers": "127.0.0.1:21000", "operators": "127.0.0.1:22000",
  "platform": {"objectAPI": "http://127.0.0.1:20000", "members": "http://127.0.0.1:20000"},
  "peers": {"datagrams": "127.0.0.1:23000", "streams": "127.0.0.1:24000",
            "keys": ["000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"]},
}
EOF
"$work/eiderspring-standin" member --platform http://127.0.0.1:20000 --name entry-0 --address 127.0.0.1:21000 \
  --peer-port 23000 --stream-port 24000 --failure-domain a
start "$work/eiderspring" serve --config "$work/entry.jsonc"
entry=${pids[-1]}
sleep 12
echo "rss_idle_mb=$(rss "$entry")"

# run NAME SECONDS ARG... prints the processor time for each complete request.
run() {
  local name=$1 seconds=$2 before after
  shift 2
  before=$(ticks "$entry")
  "$work/eiderspring" load --url http://127.0.0.1:21000 --token "$token" --duration "${seconds}s" -o json "$@" > "$work/out.json"
  after=$(ticks "$entry")
  "$work/bench" summary --name "$name" --ticks $((after - before)) "$work/out.json"
}
run "plain 100/s" 8 --name ping --plain --rate 100
run "plain 1000/s" 8 --name ping --plain --rate 1000
run "plain 3000/s" 8 --name ping --plain --rate 3000
run "keyed 100/s" 8 --name confirm --plain --keyed --rate 100
run "stream of 64 tokens, 50/s" 8 --name m --max-tokens 64 --rate 50
# About 200 concurrent streams: 40 per second, each of 250 tokens at about 20 ms.
"$work/eiderspring" load --url http://127.0.0.1:21000 --token "$token" --name m --max-tokens 250 --rate 40 --duration 12s > "$work/streams.txt" &
load=$!
sleep 11
echo "rss_at_200_streams_mb=$(rss "$entry")"
wait "$load"
cat "$work/streams.txt"
