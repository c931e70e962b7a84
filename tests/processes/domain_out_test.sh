#!/usr/bin/env bash
# Takes a failure domain out under load and back in. No task may start there once the call has
# returned, jobs must complete in the other domains, and tasks must start there again afterwards.
source "$(dirname "$0")/common.sh"
bring_up 3 "$agents" 8 || fail "the deployment did not become ready"
start_load 9 20 domain "$(entry_http 0),$(entry_http 1)"
sleep 1
tool 2 domain out cali >"$work_dir/out.txt" || fail "the domain out command failed"
before=$(cat "$work_dir"/starts2.log "$work_dir"/starts5.log | wc -l)
[ "$before" -gt 0 ] || fail "no task started in cali before it was taken out"
sleep 2
after=$(cat "$work_dir"/starts2.log "$work_dir"/starts5.log | wc -l)
[ "$before" -eq "$after" ] || fail "tasks started in cali after it was taken out: $before starts, then $after"
tool 1 domain in cali >/dev/null || fail "the domain in command failed"
wait "$load_pid"
[ "$(outcomes domain | sed 's/=.*//')" = complete ] || fail "not all jobs completed: $(outcomes domain)"
[ "$(cat "$work_dir"/starts2.log "$work_dir"/starts5.log | wc -l)" -gt "$after" ] || fail "no task started in cali after it was taken back in"
check_started_once
