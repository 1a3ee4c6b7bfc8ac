#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. Writes record.txt
# beside this file. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/case-4
[ -x "$program" ] || exit 2
exec "$program" review/4
