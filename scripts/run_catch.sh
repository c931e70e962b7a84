#!/usr/bin/env bash
# Runs the cases of a Catch program in parallel, each in a process of its own, and prints the output
# of those that fail. Usage: run_catch.sh PROGRAM [EXCLUSION...]; exclusions are Catch specs as "~NAME".
set -euo pipefail
program=$1
shift
output=$(mktemp -d)
trap 'rm -rf "$output"' EXIT
export program output

run_case() {
    local file
    file="$output/$(echo "$1" | md5sum | cut -d' ' -f1)"
    # A comma in a name would part it into two specs.
    "$program" "${1//,/\\,}" >"$file" 2>&1 || { cat "$file"; return 1; }
}
export -f run_case

# Catch's status here is the number of cases, so it is the list that tells whether there are any.
"$program" --list-test-names-only "$@" >"$output/cases" || true
[ -s "$output/cases" ] || { echo "$program: no case to run" >&2; exit 1; }
xargs -d '\n' -P "$(nproc)" -I{} bash -c 'run_case "$1"' _ {} <"$output/cases"
echo "$(basename "$program"): $(wc -l <"$output/cases") cases passed"
