#!/usr/bin/env bash
# Demonstrates the main use case with a stand-in platform, three entries, and three agents and endpoints
# in three failure domains: submits a job of 24 tasks twice, takes a failure domain out, submits
# another job, and stops all processes.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh release >/dev/null

build_dir=$PWD/build/release
work_dir=$(mktemp -d)
source scripts/deployment.sh
trap 'stop_all; rm -rf "$work_dir"' EXIT

domains=(bogota medellin cali)
start_table
for index in 0 1 2; do
    start_entry "$index" "${domains[$index]}"
done
links="$(entry_link 0), $(entry_link 1), $(entry_link 2)"
for index in 0 1 2; do
    start_agent "$index" "${domains[$index]}" "$links"
    start_endpoint "$index" orders 8
done
for index in 0 1 2; do
    wait_for 20 is_ready "$index"
done

echo "== publish a release note"
tool 0 note publish examples/guild/first-note.json
for index in 0 1 2; do
    wait_for 20 has_agents "$index" 3
done

echo "== submit a job to entry 0 and again to entry 1"
tool 0 --json submit examples/guild/bench-order.json | tee "$work_dir/answer0.json"
tool 1 --json submit examples/guild/bench-order.json >"$work_dir/answer1.json"
grep -q '"status":"complete"' "$work_dir/answer0.json"
cmp "$work_dir/answer0.json" "$work_dir/answer1.json" && echo "both answers are identical"

echo "== task starts in the logs of the endpoints"
starts=$(cat "$work_dir"/starts?.log | wc -l)
tasks=$(cat "$work_dir"/starts?.log | grep -o '"task":"[^"]*"' | sort -u | wc -l)
wc -l "$work_dir"/starts?.log | sed "s|$work_dir/||"
echo "$starts starts of $tasks tasks"
[ "$starts" -eq "$tasks" ] && [ "$tasks" -eq 24 ]

echo "== take cali out and submit another job"
tool 2 domain out cali
before=$(wc -l <"$work_dir/starts2.log")
sed 's/protocolo-1841/protocolo-1842/' examples/guild/bench-order.json >"$work_dir/second.json"
tool 1 --json submit "$work_dir/second.json" | grep -o '"status":"[^"]*"'
after=$(wc -l <"$work_dir/starts2.log")
echo "starts in cali before: $before, after: $after"
[ "$before" -eq "$after" ]
echo "== done"
