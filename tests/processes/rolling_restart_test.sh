#!/usr/bin/env bash
# Restarts every entry and every agent gracefully, one after another, under load. No job may fail.
source "$(dirname "$0")/common.sh"
bring_up 3 "$agents" 8 || fail "the deployment did not become ready"
# The platform's load balancer excludes entries that drain. In its place, the load goes to entry 2 while
# entries 0 and 1 restart, and to entry 0 while entry 2 and the agents restart.
start_load 8 15 first "$(entry_http 2)"
for index in 0 1; do
    end "entry$index"
    restart_entry "$index"
    wait_for 30 is_ready "$index" || fail "entry $index was not ready within 30 s of its restart"
done
wait "$load_pid"
[ "$(outcomes first | sed 's/=.*//')" = complete ] || fail "not all jobs completed while entries restarted: $(outcomes first)"
start_load 12 15 second "$(entry_http 0)"
end entry2
restart_entry 2
for ((index = 0; index < agents; index++)); do
    end "agent$index"
    restart_agent "$index"
    wait_for 30 has_agents 0 "$agents" || fail "agent $index did not register within 30 s of its restart"
done
wait "$load_pid"
[ "$(outcomes second | sed 's/=.*//')" = complete ] || fail "not all jobs completed while agents restarted: $(outcomes second)"
check_started_once
