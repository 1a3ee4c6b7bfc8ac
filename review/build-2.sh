#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The build of deploy/system.toml comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/stand-2 ./review/stand-2
