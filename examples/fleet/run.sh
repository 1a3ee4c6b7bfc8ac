#!/usr/bin/env bash
# Three VMs with keys of their own, three engines, and a change of tables that is
# in force on all of them. Ends by itself.
set -euo pipefail
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
pids=()
finish() { for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done; wait 2>/dev/null || true; rm -rf "$work"; }
trap finish EXIT
go build -o "$work/jasminecove" ./cmd/jasminecove
go build -o "$work/standin" ./cmd/standin
"$work/jasminecove" keys authority -folder "$work/keys"
"$work/jasminecove" keys issue -folder "$work/keys" vm1 vm2 vm3
for i in 1 2 3; do
  cat > "$work/vm$i.yaml" <<YAML
vm: vm$i
dataCentre: dc$i
dataFolder: $work/data$i
listen: {callers: "127.0.0.1:72${i}0", upstreams: "127.0.0.1:72${i}1", operators: "127.0.0.1:72${i}2", fleet: "127.0.0.1:72${i}3"}
fleet: {keys: $work/keys/vm$i, seeds: ["127.0.0.1:7213", "127.0.0.1:7223"], voters: [vm1, vm2, vm3]}
callers: {anonymous: true}
drain: {notice: 200ms}
YAML
  "$work/jasminecove" serve -settings "$work/vm$i.yaml" -log-level warn &
  pids+=("$!")
done
for i in 1 2 3; do
  "$work/standin" engine -id "e$i" -from $((4 * i - 4)) -to $((4 * i)) -announce "http://127.0.0.1:72${i}1" &
  pids+=("$!")
done
call=("$work/jasminecove" apply -server https://127.0.0.1:7212 -authority "$work/keys/authority.pem")
until "${call[@]}" -f examples/single/tables.yaml -base 0 -change-id first -wait; do sleep 0.2; done
until "$work/standin" ask -base http://127.0.0.1:7230; do sleep 0.2; done
"$work/jasminecove" status -server https://127.0.0.1:7222 -authority "$work/keys/authority.pem"
