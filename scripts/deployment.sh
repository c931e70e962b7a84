# Functions that start a small deployment on loopback. Sourced by the demo, the tests and the benchmarks.
#
# The caller sets work_dir and build_dir, and base_port if the default ports are in use. stop_all ends
# every process that was started here, by process id.

base_port=${base_port:-7100}
declare -A process_ids=()

table_address() { echo "127.0.0.1:$base_port"; }
entry_http() { echo "127.0.0.1:$((base_port + 10 + $1))"; }
entry_link() { echo "127.0.0.1:$((base_port + 20 + $1))"; }
agent_http() { echo "127.0.0.1:$((base_port + 100 + $1))"; }
endpoint_http() { echo "127.0.0.1:$((base_port + 200 + $1))"; }

# start NAME COMMAND...: starts a named background process.
start() {
    local name=$1
    shift
    "$@" >>"$work_dir/$name.out" 2>>"$work_dir/$name.log" &
    process_ids[$name]=$!
}

# end NAME [SIGNAL]: sends SIGNAL, by default TERM, to a process and waits for it to exit.
end() {
    local id=${process_ids[$1]:-}
    [ -n "$id" ] || return 0
    kill "-${2:-TERM}" "$id" 2>/dev/null || true
    wait "$id" 2>/dev/null || true
    unset "process_ids[$1]"
}

stop_all() {
    local name
    for name in "${!process_ids[@]}"; do
        kill -CONT "${process_ids[$name]}" 2>/dev/null || true
        kill -KILL "${process_ids[$name]}" 2>/dev/null || true
    done
    for name in "${!process_ids[@]}"; do
        wait "${process_ids[$name]}" 2>/dev/null || true
        unset "process_ids[$name]"
    done
}

start_table() {
    start table "$build_dir/standins/marjoramferry-standin" table --listen "$(table_address)"
}

# start_entry INDEX DOMAIN [LINES]: LINES are appended to the INI file.
start_entry() {
    local config="$work_dir/entry$1.ini"
    cat >"$config" <<INI
[process]
role = entry
name = entry$1
domain = $2
log_level = info

[entry]
http_listen = $(entry_http "$1")
link_listen = $(entry_link "$1")

[platform]
table = $(table_address)
${3:-}
INI
    start "entry$1" "$build_dir/programs/marjoramferryd" --config "$config"
}

# start_agent INDEX DOMAIN ENTRIES [LINES]: ENTRIES is a comma-separated list of link addresses.
start_agent() {
    local config="$work_dir/agent$1.ini"
    cat >"$config" <<INI
[process]
role = agent
name = agent$1
domain = $2
log_level = info

[agent]
http_listen = $(agent_http "$1")
entries = $3
${4:-}
INI
    start "agent$1" "$build_dir/programs/marjoramferryd" --config "$config"
}

# start_endpoint INDEX SERVICE SLOTS
start_endpoint() {
    start "endpoint$1" "$build_dir/standins/marjoramferry-standin" endpoint --listen "$(endpoint_http "$1")" \
        --agent "$(agent_http "$1")" --name "runner$1" --service "$2" --slots "$3" \
        --start-log "$work_dir/starts$1.log"
}

# Failure domains and entries of the deployments that the tests and benchmarks use.
domains=(bogota medellin cali)
entry_links() { echo "$(entry_link 0), $(entry_link 1), $(entry_link 2)"; }

# bring_up ENTRIES AGENTS SLOTS [LINES]: starts the table service, the entries, and the agents with one
# endpoint each, publishes the release note and waits until every agent is registered at every entry.
# LINES are appended to the entries' INI files.
bring_up() {
    local index
    start_table
    for ((index = 0; index < $1; index++)); do start_entry "$index" "${domains[$index]}" "${4:-}"; done
    for ((index = 0; index < $2; index++)); do
        start_agent "$index" "${domains[$((index % 3))]}" "$([ "$1" -eq 1 ] && entry_link 0 || entry_links)"
        start_endpoint "$index" orders "$3"
    done
    for ((index = 0; index < $1; index++)); do wait_for 30 is_ready "$index" || return 1; done
    tool 0 note publish examples/guild/first-note.json >/dev/null || return 1
    for ((index = 0; index < $1; index++)); do wait_for 30 has_agents "$index" "$2" || return 1; done
}

tool() {
    "$build_dir/programs/marjoramferry" --entry "$(entry_http "$1")" "${@:2}"
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds; fails after the given time.
wait_for() {
    local limit=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$limit" ] || return 1
        sleep 0.1
    done
}

is_ready() { curl -fsS "http://$(entry_http "$1")/readyz"; }

# has_agents INDEX COUNT: succeeds if at least COUNT agents are registered at the entry.
has_agents() {
    [ "$(tool "$1" --json status | grep -o '"registered":true' | wc -l)" -ge "$2" ]
}
