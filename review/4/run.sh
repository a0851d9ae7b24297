#!/usr/bin/env bash
# Runs the case: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: the same run without the disruption.
set -uo pipefail
cd "$(dirname "$0")"
root=$(cd ../.. && pwd)
program=$root/target/review/review_case_4
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
[ -x "$program" ] && [ -x "$root/target/programs/chestnutrouted/chestnutrouted" ] || exit 2
timeout 110 "$program" --root="$root" --record=record.txt --folder="$folder" --trouble="${TROUBLE:-1}"
result=$?
tail -n 2 record.txt
[ "$result" -le 2 ] && exit "$result"
exit 2
