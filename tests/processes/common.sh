# Shared setup of the tests with real processes: three entries, and six agents with endpoints, in three
# failure domains. Sourced by the tests, which run the unmodified programs and check the endpoints' start logs.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
build_dir=${BUILD:-$PWD/build/release}
work_dir=$(mktemp -d)
base_port=${base_port:-7600}
source scripts/deployment.sh
trap 'stop_all; rm -rf "$work_dir"' EXIT

agents=6

restart_entry() { start_entry "$1" "${domains[$1]}"; }
restart_agent() { start_agent "$1" "${domains[$(($1 % 3))]}" "$(entry_links)"; }

fail() {
    echo "$(basename "$0"): $*" >&2
    tail -n 5 "$work_dir"/*.log >&2 || true
    exit 1
}

# start_load SECONDS RATE PREFIX ENTRIES: submits jobs in the background and writes a report to PREFIX.json.
start_load() {
    "$PWD/build/release/benchmarks/marjoramferry-bench" --entries "$4" --rate "$2" --seconds "$1" --tenant talleres \
        --service orders --prefix "$3" --long-share 0 --run-max-ms 300 --deadline-ms 8000 \
        --out "$work_dir/$3.json" >/dev/null &
    load_pid=$!
}

# outcomes PREFIX: prints the job outcomes of a load as "kind=count" words.
outcomes() {
    python3 -c 'import json,sys; print(*[f"{k}={v}" for k, v in sorted(json.load(open(sys.argv[1]))["outcomes"].items())])' \
        "$work_dir/$1.json"
}

all_starts() { cat "$work_dir"/starts*.log; }

# Fails if the start logs contain a task more than once.
check_started_once() {
    local duplicates
    duplicates=$(all_starts | grep -o '"job":"[^"]*","task":"[^"]*"' | sort | uniq -d | head -n 3)
    [ -z "$duplicates" ] || fail "tasks started more than once: $duplicates"
}
