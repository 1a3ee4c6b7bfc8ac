#!/usr/bin/env bash
# Regenerates the Go code of the wire schemas. Requires protoc and protoc-gen-go.
set -euo pipefail
cd "$(dirname "$0")"
protoc -I upstreampb --go_out=upstreampb --go_opt=paths=source_relative upstream.proto
protoc -I fleetpb --go_out=fleetpb --go_opt=paths=source_relative fleet.proto
