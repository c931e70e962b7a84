#!/usr/bin/env bash
# Compares response times with an ideal schedule, and measures messages per task and CPU use, at the current
# size of the system: 3 entries and 11 agents with 8 slots each in 3 failure domains. Prints one
# line for each combination of load and placement.
# Usage: benchmarks/response.sh [SECONDS] [LOADS] [PLACEMENTS]; BUILD selects another build to compare.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-20}
loads=${2:-"0.5 0.8 0.95"}
placements=${3:-"least-loaded random round-robin"}
build_dir=${BUILD:-$PWD/build/release}
bench=$PWD/build/release/benchmarks/marjoramferry-bench
out=${OUT:-$PWD/out}
mkdir -p "$out"
work_dir=$(mktemp -d)
source scripts/deployment.sh
trap 'stop_all; rm -rf "$work_dir"' EXIT

agent_count=11

watch_options() {
    for index in 0 1 2; do
        echo "--watch entry$index:${process_ids[entry$index]}:$(entry_http "$index")"
    done
    for ((index = 0; index < agent_count; index++)); do
        echo "--watch agent$index:${process_ids[agent$index]}:$(agent_http "$index")"
    done
}

for placement in $placements; do
    for load in $loads; do
        rm -f "$work_dir"/*
        bring_up 3 "$agent_count" 8 "
[entry]
placement = $placement"
        sleep 1
        report="$out/response-$placement-$load.json"
        # shellcheck disable=SC2046
        "$bench" --entries "$(entry_http 0),$(entry_http 1),$(entry_http 2)" --load "$load" --slots 88 \
            --seconds "$seconds" --tenant talleres --service orders --seed 7 $(watch_options) --out "$report" >/dev/null
        python3 - "$report" "$placement" "$load" <<'PY'
import json, sys
r = json.load(open(sys.argv[1]))
entries = [d for d in r["daemons"] if d["name"].startswith("entry")]
agents = [d for d in r["daemons"] if d["name"].startswith("agent")]
print(f"{sys.argv[2]:13} load {sys.argv[3]:5} median x{r['median_ratio']:.3f} p99 x{r['p99_ratio']:.3f} "
      f"({r['median_ms']:.0f}/{r['p99_ms']:.0f} ms, ideal {r['ideal_median_ms']:.0f}/{r['ideal_p99_ms']:.0f}) "
      f"messages/task {r['messages_per_task']:.2f} outcomes {r['outcomes']} "
      f"cpu entry {max(d['cpu_share'] for d in entries):.3f} agent {max(d['cpu_share'] for d in agents):.3f}")
PY
        stop_all
    done
done
