#!/usr/bin/env bash
# Starts one platform, scheduler, router and engine stand-in on loopback, measures what the router
# adds with bench-router-speed, and stops all.
#   BUILD=folder (default: build); arguments go to bench-router-speed
#   WRAP="..."   command that the router runs under, for profiling
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
work=$(mktemp -d)
pids=()
stop_all() {
    kill -TERM "${pids[@]}" 2>/dev/null || true
    wait "${pids[@]}" 2>/dev/null || true
}
trap stop_all EXIT

mkdir "$work/config"
cat >"$work/config/all.yaml" <<'YAML'
classes:
  - name: only
    tier: 0
    weight: 1
    target: {first-token: 2s, whole-answer: 60s}
    max-wait: 30s
    late: serve
pools:
  - name: pool
    kind: engine
    models: [m]
    endpoints:
      - {name: e, address: 127.34.3.2, port: 8000, slots: 128}
rules:
  - match: {path: /v1/}
    class: only
    run: idempotent
workspaces:
  - name: w
    weight: 1
    keys: [key-w]
    default-class: only
YAML
cat >"$work/settings.yaml" <<'YAML'
cluster: speed
host: entry-1
address: 127.34.3.1
failure-domain: d
platform: http://127.34.3.3:9000
threads: 1
log-level: warning
keep-address: 0s
YAML
cat >"$work/hosts.json" <<'JSON'
{"hosts": [{"name": "entry-1", "address": "127.34.3.1", "failure_domain": "d", "role": "entry",
            "state": "live"}]}
JSON

start() {
    "$@" >>"$work/log" 2>&1 &
    pids+=($!)
}
wait_for() {
    for _ in $(seq 200); do
        curl --noproxy '*' -fsS -o /dev/null "$1" 2>/dev/null && return 0
        sleep 0.05
    done
    echo "no answer from $1" >&2
    cat "$work/log" >&2
    exit 1
}

start "$build/programs/monsoongrade-fake-platform" --address 127.34.3.3 --port 9000
wait_for http://127.34.3.3:9000/v1/hosts
curl --noproxy '*' -fsS -o /dev/null -X PUT --data-binary "@$work/hosts.json" \
    http://127.34.3.3:9000/admin/hosts
"$build/programs/monsoongradectl" apply "$work/config" --platform http://127.34.3.3:9000 --wait 0 \
    >>"$work/log" 2>&1
start "$build/programs/monsoongrade-fake-engine" --address 127.34.3.2 --port 8000 --slots 128 \
    --tokens-per-second "${ENGINE_SPEED:-500}" --batch-cost 0 --prefill-micros 0
start "$build/programs/monsoongrade-scheduler" --config "$work/settings.yaml"
# shellcheck disable=SC2086
start ${WRAP:-} "$build/programs/monsoongrade-router" --config "$work/settings.yaml"
router=${pids[-1]}
wait_for http://127.34.3.1:8080/readyz
"$build/bench/bench-router-speed" --router http://127.34.3.1:8080 --engine http://127.34.3.2:8000 \
    --router-pid "$router" --key key-w --model m "$@"
