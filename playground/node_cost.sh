#!/usr/bin/env bash
# Measures the latency that nodes add to a call, and the CPU time and memory of
# each process: a platform, two backend servers and two nodes on loopback. All
# processes that it started are ended when it exits.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  # Nodes drain before they exit.
  wait
  rm -rf "$dir"
}
trap finish EXIT

cat > "$dir/bundle.ini" <<'INI'
[bundle]
scope = fleet
version = 1
[account:office]
callers = *
[service:echo]
slots = 200
connections = 400
cancellation = close
[kind:echo/read]
rank = 50
idempotent = yes
deadline_ms = 5000
weight = 1
INI
cli="node packages/cli/dist/main.js"
$cli keys new --out "$dir/ops" >/dev/null
$cli bundle approve "$dir/bundle.ini" --key "$dir/ops.key" \
  --out "$dir/approval.json" >/dev/null
$cli bundle roll "$dir/bundle.ini" --approval "$dir/approval.json" \
  --trust "$dir/ops.pub" --out "$dir/envelope.json" >/dev/null

instances=()
for n in 1 2; do
  instances+=(--instance "{\"id\":\"echo-$n\",\"service\":\"echo\",\
\"dataCentre\":\"one\",\"address\":\"127.0.0.1:74${n}1\",\
\"control\":\"127.0.0.1:74${n}3\",\"state\":\"live\"}")
  cat > "$dir/node-$n.ini" <<INI
[node]
instance = echo-$n
service = echo
data_centre = one
[listen]
data = 127.0.0.1:74${n}1
admin = 127.0.0.1:74${n}2
control = 127.0.0.1:74${n}3
[backend]
address = 127.0.0.1:74${n}0
[platform]
address = 127.0.0.1:7400
[trust]
keys = $(cat "$dir/ops.pub")
INI
done
node packages/standin/dist/main.js platform --port 7400 \
  --value "bundles/fleet=$dir/envelope.json" "${instances[@]}" >/dev/null &
pids+=($!)
for n in 1 2; do
  node packages/standin/dist/main.js backend --service echo \
    --port "74${n}0" --slots 200 --service-ms 1 >/dev/null &
  pids+=($!)
  node --max-semi-space-size=2 packages/node/dist/main.js --settings "$dir/node-$n.ini" \
    > "$dir/node-$n.log" &
  pids+=($!)
done
sleep 4
node packages/bench/dist/main.js --scenario node \
  --node 127.0.0.1:7411 --direct 127.0.0.1:7410
for pid in "${pids[@]}"; do
  ps -o pid=,rss=,cputimes=,args= -p "$pid" | cut -c1-100
done
