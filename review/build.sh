#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
for main in review/*/main.go; do
  folder=$(dirname "$main")
  go build -o "target/review/case-$(basename "$folder")" "./$folder"
done
