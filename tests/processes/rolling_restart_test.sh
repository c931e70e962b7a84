#!/usr/bin/env bash
# A planned restart of every entry and every agent, one after another, under load: no job fails.
source "$(dirname "$0")/common.sh"
bring_up 3 "$agents" 8 || fail "the deployment did not come up"
# The caller's side of the platform's balancer: an entry that drains is left out, so the load goes to
# entry 2 while 0 and 1 restart, and to entry 0 while 2 and the agents do.
load 8 15 first "$(entry_http 2)"
for index in 0 1; do
    end "entry$index"
    start_entry_again "$index"
    wait_for 30 is_ready "$index" || fail "entry $index did not come back"
done
wait "$load_id"
[ "$(outcomes first | sed 's/=.*//')" = complete ] || fail "entries restarted: $(outcomes first)"
load 12 15 second "$(entry_http 0)"
end entry2
start_entry_again 2
for ((index = 0; index < agents; index++)); do
    end "agent$index"
    start_agent_again "$index"
    wait_for 30 has_agents 0 "$agents" || fail "agent $index did not come back"
done
wait "$load_id"
[ "$(outcomes second | sed 's/=.*//')" = complete ] || fail "agents restarted: $(outcomes second)"
check_started_once
