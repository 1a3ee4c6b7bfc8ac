#!/usr/bin/env bash
# Writes the Go code of the wire schemas again. Needs protoc and protoc-gen-go.
set -euo pipefail
cd "$(dirname "$0")"
protoc -I upstreampb --go_out=upstreampb --go_opt=paths=source_relative upstream.proto
protoc -I fleetpb --go_out=fleetpb --go_opt=paths=source_relative fleet.proto
