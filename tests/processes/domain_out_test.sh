#!/usr/bin/env bash
# A failure domain is taken out under load and brought back: once the call is answered no task
# starts there, jobs go on elsewhere, and after bringing it back tasks start there again.
source "$(dirname "$0")/common.sh"
bring_up 3 "$agents" 8 || fail "the deployment did not come up"
load 9 20 domain "$(entry_http 0),$(entry_http 1)"
sleep 1
tool 2 domain out cali >"$work_dir/out.txt" || fail "domain out was refused"
before=$(cat "$work_dir"/starts2.log "$work_dir"/starts5.log | wc -l)
[ "$before" -gt 0 ] || fail "nothing ever started in cali"
sleep 2
after=$(cat "$work_dir"/starts2.log "$work_dir"/starts5.log | wc -l)
[ "$before" -eq "$after" ] || fail "started in cali after it was out: $before, $after"
tool 1 domain in cali >/dev/null || fail "domain in was refused"
wait "$load_id"
[ "$(outcomes domain | sed 's/=.*//')" = complete ] || fail "jobs failed: $(outcomes domain)"
[ "$(cat "$work_dir"/starts2.log "$work_dir"/starts5.log | wc -l)" -gt "$after" ] || fail "cali did not come back"
check_started_once
