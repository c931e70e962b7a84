#!/usr/bin/env bash
# Measures task starts per second through one entry and one agent with empty tasks, and the cost of one
# start, for jobs of 1, 30 and 270 tasks. Also compares the response time with a direct call of the endpoint.
# Usage: benchmarks/starts.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-6}
build_dir=${BUILD:-$PWD/build/release}
bench=$PWD/build/release/benchmarks/marjoramferry-bench
work_dir=$(mktemp -d)
source scripts/deployment.sh
trap 'stop_all; rm -rf "$work_dir"' EXIT

for tasks in 1 30 270; do
    bring_up 1 1 64
    sleep 1
    "$bench" --entries "$(entry_http 0)" --rate $((4000 / tasks + 1)) --seconds "$seconds" --in-flight $((540 / tasks + 1)) \
        --tasks-min "$tasks" --tasks-max "$tasks" --run-max-ms 0 --long-share 0 --slots 64 --tenant talleres \
        --service orders --watch "entry:${process_ids[entry0]}:$(entry_http 0)" \
        --watch "agent:${process_ids[agent0]}:$(agent_http 0)" --out "$work_dir/starts.json" >/dev/null
    python3 - "$work_dir/starts.json" "$tasks" <<'PY'
import json, sys
r = json.load(open(sys.argv[1]))
daemons = {daemon["name"]: daemon for daemon in r["daemons"]}
tasks_done = max(1, r["tasks_done"])
print(f"tasks/job {sys.argv[2]:>3}: {r['tasks_per_s']:.0f} starts/s, outcomes {r['outcomes']}, "
      f"cpu us/start entry {daemons['entry']['cpu_seconds']/tasks_done*1e6:.0f} agent {daemons['agent']['cpu_seconds']/tasks_done*1e6:.0f}, "
      f"messages/start {r['messages_per_task']:.2f}, MB entry {daemons['entry']['resident_mb']:.0f} agent {daemons['agent']['resident_mb']:.0f}")
PY
    if [ "$tasks" -eq 1 ]; then
        "$bench" --entries "$(entry_http 0)" --rate 20 --seconds 6 --tasks-min 1 --tasks-max 1 \
            --run-max-ms 0 --long-share 0 --tenant talleres --service orders --prefix single --out "$work_dir/one.json" >/dev/null
        python3 - "$work_dir/one.json" "$(endpoint_http 0)" <<'PY'
import http.client, json, statistics, sys, time
host, port = sys.argv[2].split(":")
connection = http.client.HTTPConnection(host, int(port))
times = []
for index in range(2000):
    begin = time.perf_counter()
    connection.request("POST", "/run", json.dumps({"job_id": "d", "task_id": str(index), "payload": {}}))
    connection.getresponse().read()
    times.append((time.perf_counter() - begin) * 1000)
report = json.load(open(sys.argv[1]))
print(f"20 jobs per second: median {report['median_ms']:.2f} ms through the system, {statistics.median(times):.2f} ms direct")
PY
    fi
    stop_all
done
