#!/usr/bin/env bash
# The slot policies on real processes: the same load script against the same example, once for
# each policy. Prints the table of monsoongrade-load for each, and what the routers and schedulers
# spent for it.
#
#   bench/policies-on-processes.sh [touchline|tesfaye]
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:-touchline}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for policy in scheduler fixed-share two-choices; do
    copy=$work/$policy
    cp -r "examples/$name" "$copy"
    for settings in "$copy"/settings/*.yaml; do
        echo "slots: $policy" >>"$settings"
    done
    echo "== $policy"
    LOGS=$work/logs-$policy scripts/cluster "$copy" -- \
        build/programs/monsoongrade-load --config "$copy/load.yaml" 2>/dev/null \
        | grep -vE '^(new|accepted|running|stopping)'
done
