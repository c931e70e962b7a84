#!/usr/bin/env bash
# The table service is down, then loses the answers of transactions, under load: every job gets an
# honest answer, no task starts twice, and the system heals by itself.
source "$(dirname "$0")/common.sh"
faults() { curl -fsS -d "$1" "http://$(table_address)/faults" >/dev/null; }
bring_up 3 "$agents" 8 || fail "the deployment did not come up"
load 16 15 outage "$(entry_http 0),$(entry_http 1),$(entry_http 2)"
sleep 1
faults '{"outage": true}'
sleep 5
faults '{}'
sleep 2
faults '{"lose_answers": true}'
sleep 3
faults '{}'
wait "$load_id"
echo "store_outage_test: $(outcomes outage)"
check_started_once
if outcomes outage | grep -q no_answer; then
    fail "lost answers: $(outcomes outage)"
fi
for index in 0 1 2; do wait_for 30 is_ready "$index" || fail "entry $index did not heal"; done
load 3 10 after "$(entry_http 0),$(entry_http 1),$(entry_http 2)"
wait "$load_id"
[ "$(outcomes after | sed 's/=.*//')" = complete ] || fail "not healed: $(outcomes after)"
check_started_once
