#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
if ! [ -x target/stand-2 ] || ! [ -x target/jasminecove-platform ]; then
  echo "not run: the build of the deploy file or review/build-2.sh is missing" | tee review/8/record.txt
  exit 2
fi
exec target/stand-2 8 review/8/record.txt
