#!/usr/bin/env bash
# Measures the cost of idle agents: three entries and a growing number of agents without load. Prints, for
# each number of agents, the CPU share, memory and message traffic of one entry and of one agent, and the
# requests per second at the table service.
# Usage: benchmarks/idle_slopes.sh [SIZES] [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
sizes=${1:-"10 40 80 120"}
seconds=${2:-10}
build_dir=${BUILD:-$PWD/build/release}
work_dir=$(mktemp -d)
source scripts/deployment.sh
trap 'stop_all; rm -rf "$work_dir"' EXIT

# usage NAME HOST:PORT: prints CPU seconds, resident MB, messages in and out, bytes in and out.
usage() {
    local id=${process_ids[$1]}
    python3 - "$id" "$2" <<'PY'
import os, sys, urllib.request
stat = open(f"/proc/{sys.argv[1]}/stat").read().rsplit(")", 1)[1].split()
pages = int(open(f"/proc/{sys.argv[1]}/statm").read().split()[1])
text = urllib.request.urlopen(f"http://{sys.argv[2]}/metrics").read().decode()
value = lambda name: next(int(l.split()[1]) for l in text.splitlines() if l.startswith(f"marjoramferry_{name} "))
print((int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK"), pages * 4096 / 2**20,
      value("link_messages_in_total"), value("link_messages_out_total"),
      value("link_bytes_in_total"), value("link_bytes_out_total"))
PY
}

for size in $sizes; do
    start_table
    for index in 0 1 2; do start_entry "$index" bogota; done
    for ((index = 0; index < size; index++)); do
        start_agent "$index" bogota "$(entry_link 0), $(entry_link 1), $(entry_link 2)"
    done
    for index in 0 1 2; do wait_for 30 is_ready "$index"; done
    tool 0 note publish examples/guild/first-note.json >/dev/null
    for index in 0 1 2; do wait_for 60 has_agents "$index" "$size"; done
    sleep 2
    entry_before=$(usage entry1 "$(entry_http 1)")
    agent_before=$(usage agent0 "$(agent_http 0)")
    table_before=$(curl -fsS -d '{}' "http://$(table_address)/counts")
    sleep "$seconds"
    python3 - "$size" "$seconds" "$entry_before" "$(usage entry1 "$(entry_http 1)")" \
        "$agent_before" "$(usage agent0 "$(agent_http 0)")" "$table_before" \
        "$(curl -fsS -d '{}' "http://$(table_address)/counts")" <<'PY'
import json, sys
size, seconds = int(sys.argv[1]), float(sys.argv[2])
def line(name, before, after):
    b, a = [list(map(float, x.split())) for x in (before, after)]
    rate = [(y - x) / seconds for x, y in zip(b, a)]
    return (f"{name}: cpu {100*rate[0]:.2f}% {a[1]:.1f} MB messages/s in {rate[2]:.1f} out {rate[3]:.1f} "
            f"bytes/s in {rate[4]:.0f} out {rate[5]:.0f}")
t0, t1 = json.loads(sys.argv[7]), json.loads(sys.argv[8])
print(f"{size} agents | {line('entry', sys.argv[3], sys.argv[4])} | {line('agent', sys.argv[5], sys.argv[6])} | "
      f"table reads/s {(t1['reads']-t0['reads'])/seconds:.1f} writes/s {(t1['transactions']-t0['transactions'])/seconds:.1f}")
PY
    stop_all
done
