#!/usr/bin/env bash
# Builds and runs the test programs, then the tests of scripts and those with real processes. Tests listed
# in KNOWN-RED.txt are skipped here; scripts/known_red.sh runs them.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh release | tail -n 1
passed=0
failed=0
report() {
    if [ "$2" -eq 0 ]; then
        passed=$((passed + 1))
        echo "passed: $1"
    else
        failed=$((failed + 1))
        echo "FAILED: $1"
    fi
}
for program in decision_tests promise_tests io_tests; do
    status=0
    mapfile -t exclusions < <(scripts/known_red.sh --exclusions "$program")
    scripts/run_catch.sh "build/release/tests/$program" "${exclusions[@]}" || status=$?
    report "$program" "$status"
done
for script in tests/scripts/*_test.sh tests/processes/*_test.sh; do
    grep -q "^test: $script" KNOWN-RED.txt && continue
    status=0
    "$script" || status=$?
    report "$script" "$status"
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
