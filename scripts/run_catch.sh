#!/usr/bin/env bash
# Runs the cases of a Catch program in parallel, each in a separate process, and prints the output of
# failed cases. Cases with the tag [hunt] take minutes and are run by hand. Usage: run_catch.sh PROGRAM [EXCLUSION...]; an exclusion is a Catch test spec, "~NAME".
set -euo pipefail
program=$1
shift
output=$(mktemp -d)
trap 'rm -rf "$output"' EXIT
export program output

run_case() {
    local file
    file="$output/$(echo "$1" | md5sum | cut -d' ' -f1)"
    # An unescaped comma would split the name into two test specs.
    "$program" "${1//,/\\,}" >"$file" 2>&1 || { cat "$file"; return 1; }
}
export -f run_case

# Catch exits with the number of listed cases, so the list shows whether there are any, not the status.
"$program" --list-test-names-only '~[hunt]' "$@" >"$output/cases" || true
[ -s "$output/cases" ] || { echo "$program: no test cases match" >&2; exit 1; }
xargs -d '\n' -P "$(nproc)" -I{} bash -c 'run_case "$1"' _ {} <"$output/cases"
echo "$(basename "$program"): $(wc -l <"$output/cases") cases passed"
