#!/usr/bin/env bash
# Measures throughput while a failure domain is withdrawn and returned, as a share of the capacity of the
# remaining slots. The load keeps all slots busy; a domain with 32 of 88 slots is out from second 6 to
# second 16.
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir=${BUILD:-$PWD/build/release}
bench=$PWD/build/release/benchmarks/marjoramferry-bench
work_dir=$(mktemp -d)
source scripts/deployment.sh
trap 'stop_all; rm -rf "$work_dir"' EXIT

bring_up 3 11 8
sleep 1
"$bench" --entries "$(entry_http 0),$(entry_http 1),$(entry_http 2)" --rate 110 --seconds 20 --in-flight 60 \
    --tasks-min 4 --tasks-max 4 --run-min-ms 200 --run-max-ms 200 --long-share 0 --tenant talleres --service orders \
    --out "$work_dir/domain.json" >/dev/null &
load_id=$!
sleep 6
tool 0 domain out bogota >/dev/null
sleep 8
tool 1 domain in bogota >/dev/null
wait "$load_id"
python3 - "$work_dir/domain.json" <<'PY'
import json, sys
r = json.load(open(sys.argv[1]))
done = r["done_by_second"]
rate = lambda begin, end: sum(done[begin:end]) / (end - begin)
full_capacity, reduced_capacity = 88 / 0.2, 56 / 0.2  # Tasks per second, at 0.2 s per task.
print("tasks completed per second:", done)
print(f"outcomes {r['outcomes']}; capacity {full_capacity:.0f}/s with 88 slots, {reduced_capacity:.0f}/s with 56")
print(f"share of capacity before: {rate(2, 6) / full_capacity:.3f}; "
      f"while out (seconds 9 to 14): {rate(9, 14) / reduced_capacity:.3f}; "
      f"during withdrawal (seconds 6 to 8): {rate(6, 9) / reduced_capacity:.3f}; "
      f"after (seconds 17 to 20): {rate(17, 20) / full_capacity:.3f}")
PY
