#!/usr/bin/env bash
# Entries and agents are killed and frozen under load: no task starts twice, every job is answered
# by the entry that lives on, and an answer of "complete" has all its starts.
source "$(dirname "$0")/common.sh"
bring_up 3 "$agents" 8 || fail "the deployment did not come up"
load 14 15 death "$(entry_http 0)"
sleep 1
end entry1 KILL
sleep 2
end agent3 KILL
start_agent_again 3
kill -STOP "${process_ids[entry2]}"
sleep 4
kill -CONT "${process_ids[entry2]}"
start_entry_again 1
kill -STOP "${process_ids[agent0]}"
sleep 3
kill -CONT "${process_ids[agent0]}"
wait "$load_id"
echo "sudden_death_test: $(outcomes death)"
check_started_once
if outcomes death | grep -q no_answer; then
    fail "lost answers: $(outcomes death)"
fi
# After all that, the system serves as before.
wait_for 30 has_agents 0 "$agents" || fail "agents are missing"
wait_for 30 is_ready 1 || fail "entry 1 is not ready"
load 3 10 after "$(entry_http 0),$(entry_http 1),$(entry_http 2)"
wait "$load_id"
[ "$(outcomes after | sed 's/=.*//')" = complete ] || fail "not healed: $(outcomes after)"
check_started_once
