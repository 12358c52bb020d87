#!/bin/sh
# Plays the case with gateways as processes; see claim.txt. Exit status: 1 broken, 0 held, 2 could not run.
# TROUBLE=0 leaves the disruption out.
dir="$(cd "$(dirname "$0")" && pwd)"
cd "$dir/../../.." || exit 2
test -x target/release/caraway-gateway || exit 2
test -x review/standins-2/target/release/standins-2 || exit 2
exec review/standins-2/target/release/standins-2 keep-alive "$dir/record.txt"
