#!/usr/bin/env bash
# Measures the processor time of one VM's process a token and hop, at several
# widths of a position: the process alone, with engines and callers beside it.
# Usage: scripts/hopcost.sh [WIDTH ...]
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
finish() { for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done; rm -rf "$work"; }
trap finish EXIT
go build -o "$work/jasminecove" ./cmd/jasminecove
go build -o "$work/standin" ./cmd/standin
base=17400
for width in "${@:-8 256 2048 8192}"; do
  for w in $width; do
    base=$((base + 10))
    cat > "$work/vm.yaml" <<YAML
vm: bench
dataCentre: here
listen: {callers: "127.0.0.1:$base", upstreams: "127.0.0.1:$((base + 1))", operators: "127.0.0.1:$((base + 2))"}
callers: {anonymous: true}
YAML
    "$work/jasminecove" serve -settings "$work/vm.yaml" -tables examples/single/tables.yaml 2>/dev/null &
    serve=$!
    pids=("$serve")
    for k in 0 1 2; do
      "$work/standin" engine -id "e$k" -from $((4 * k)) -to $((4 * k + 4)) -speed 200000 -width "$w" -announce "http://127.0.0.1:$((base + 1))" >/dev/null &
      pids+=("$!")
    done
    sleep 3
    before=$(awk '{print $14 + $15}' "/proc/$serve/stat")
    "$work/standin" load -targets "http://127.0.0.1:$base" -rate 40 -tokens 200 -span 10s -warmup 0s -json "$work/report.json" > "$work/load.txt"
    after=$(awk '{print $14 + $15}' "/proc/$serve/stat")
    tokens=$(sed -n 's/.*"tokens": \([0-9]*\).*/\1/p' "$work/report.json" | head -1)
    rss=$(awk '/VmRSS/{print $2}' "/proc/$serve/status")
    awk -v w="$w" -v t="$tokens" -v ticks=$((after - before)) -v hz="$(getconf CLK_TCK)" -v rss="$rss" \
      'BEGIN { printf "width %d bytes: %d tokens, 3 hops each, %.1f us a token and hop, resident %d kB\n", w, t, ticks / hz * 1e6 / t / 3, rss }'
    cat "$work/load.txt"
    for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
    wait 2>/dev/null || true
    pids=()
  done
done
