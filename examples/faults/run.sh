#!/usr/bin/env bash
# An engine goes silent in the middle of an answer; the answer is whole, and its
# account says what happened. Ends by itself.
set -euo pipefail
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
pids=()
finish() { for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done; wait 2>/dev/null || true; rm -rf "$work"; }
trap finish EXIT
go build -o "$work/jasminecove" ./cmd/jasminecove
go build -o "$work/standin" ./cmd/standin
"$work/jasminecove" serve -settings examples/single/vm.yaml -tables examples/single/tables.yaml -log-level warn &
pids+=("$!")
"$work/standin" engine -id a1 -from 0 -to 6 -speed 200 -listen 127.0.0.1:7301 -announce http://127.0.0.1:7001 &
pids+=("$!")
"$work/standin" engine -id b1 -from 6 -to 12 -speed 200 -listen 127.0.0.1:7302 -announce http://127.0.0.1:7001 &
pids+=("$!")
"$work/standin" engine -id b2 -from 6 -to 12 -speed 200 -listen 127.0.0.1:7303 -announce http://127.0.0.1:7001 &
pids+=("$!")
until "$work/standin" ask -base http://127.0.0.1:7000 -max-tokens 2; do sleep 0.2; done
"$work/standin" ask -base http://127.0.0.1:7000 -max-tokens 300 > "$work/answer" &
asked=$!
until "$work/standin" inflight -server http://127.0.0.1:7002; do sleep 0.05; done
"$work/standin" fault -address 127.0.0.1:7302 '{"deaf":true,"stall":true,"noAnnounce":true}'
wait "$asked"
cat "$work/answer"
"$work/jasminecove" explain "$(sed 's/.*request //' "$work/answer")"
