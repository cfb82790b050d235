#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
program=target/review-2/case-$(basename "$here")
[ -x "$program" ] && [ -x target/programs/monsoongrade-gateway ] || exit 2
folder=$(mktemp -d)
"$program" "$folder" "$here/record.txt"
result=$?
rm -rf "$folder"
exit $result
