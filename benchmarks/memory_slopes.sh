#!/usr/bin/env bash
# Measures the memory use of retained jobs and start records: one entry, one agent and empty tasks, in
# steps. Prints the resident memory of both after each step, and the request counts of the table service.
# Usage: benchmarks/memory_slopes.sh [TASKS_PER_JOB] [JOBS_PER_STEP]
set -euo pipefail
cd "$(dirname "$0")/.."
tasks=${1:-1}
jobs=${2:-10000}
build_dir=${BUILD:-$PWD/build/release}
bench=$PWD/build/release/benchmarks/marjoramferry-bench
work_dir=$(mktemp -d)
source scripts/deployment.sh
trap 'stop_all; rm -rf "$work_dir"' EXIT

bring_up 1 1 64
sleep 1
resident() { awk '{printf "%.1f", $2 * 4096 / 1048576}' "/proc/${process_ids[$1]}/statm"; }
echo "0 jobs: entry $(resident entry0) MB, agent $(resident agent0) MB"
for step in 1 2 3 4; do
    "$bench" --entries "$(entry_http 0)" --rate "$jobs" --seconds 1 --in-flight $((270 / tasks + 1)) --prefix "step$step" \
        --tasks-min "$tasks" --tasks-max "$tasks" --run-max-ms 0 --long-share 0 --tenant talleres --service orders \
        --out "$work_dir/step.json" >/dev/null
    python3 - "$work_dir/step.json" "$step" "$tasks" "$(resident entry0)" "$(resident agent0)" \
        "$(curl -fsS -d '{}' "http://$(table_address)/counts")" <<'PY'
import json, sys
r = json.load(open(sys.argv[1]))
print(f"step {sys.argv[2]}: +{r['jobs']} jobs of {sys.argv[3]} {r['outcomes']}, {r['tasks_per_s']:.0f} starts/s: "
      f"entry {sys.argv[4]} MB, agent {sys.argv[5]} MB, table {sys.argv[6]}")
PY
done
