#!/usr/bin/env bash
# Under load, the table service is unavailable and then loses the responses to transactions. Every job
# must be answered, no task may start twice, and the system must recover without intervention.
source "$(dirname "$0")/common.sh"
set_table_faults() { curl -fsS -d "$1" "http://$(table_address)/faults" >/dev/null; }
bring_up 3 "$agents" 8 || fail "the deployment did not become ready"
start_load 16 15 outage "$(entry_http 0),$(entry_http 1),$(entry_http 2)"
sleep 1
set_table_faults '{"outage": true}'
sleep 5
set_table_faults '{}'
sleep 2
set_table_faults '{"lose_answers": true}'
sleep 3
set_table_faults '{}'
wait "$load_pid"
echo "store_outage_test: $(outcomes outage)"
check_started_once
if outcomes outage | grep -q no_answer; then
    fail "some jobs received no answer: $(outcomes outage)"
fi
for index in 0 1 2; do wait_for 30 is_ready "$index" || fail "entry $index was not ready within 30 s after the faults"; done
start_load 3 10 after "$(entry_http 0),$(entry_http 1),$(entry_http 2)"
wait "$load_pid"
[ "$(outcomes after | sed 's/=.*//')" = complete ] || fail "not all jobs completed after the faults: $(outcomes after)"
check_started_once
