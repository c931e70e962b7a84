#!/usr/bin/env bash
# Kills and suspends entries and agents under load. No task may start twice, and every job must be
# answered by the entry that keeps running.
source "$(dirname "$0")/common.sh"
bring_up 3 "$agents" 8 || fail "the deployment did not become ready"
start_load 14 15 death "$(entry_http 0)"
sleep 1
end entry1 KILL
sleep 2
end agent3 KILL
restart_agent 3
kill -STOP "${process_ids[entry2]}"
sleep 4
kill -CONT "${process_ids[entry2]}"
restart_entry 1
kill -STOP "${process_ids[agent0]}"
sleep 3
kill -CONT "${process_ids[agent0]}"
wait "$load_pid"
echo "sudden_death_test: $(outcomes death)"
check_started_once
if outcomes death | grep -q no_answer; then
    fail "some jobs received no answer: $(outcomes death)"
fi
# All jobs must complete again after the faults.
wait_for 30 has_agents 0 "$agents" || fail "not all agents registered again within 30 s"
wait_for 30 is_ready 1 || fail "entry 1 was not ready within 30 s of its restart"
start_load 3 10 after "$(entry_http 0),$(entry_http 1),$(entry_http 2)"
wait "$load_pid"
[ "$(outcomes after | sed 's/=.*//')" = complete ] || fail "not all jobs completed after the faults: $(outcomes after)"
check_started_once
