#!/usr/bin/env bash
# Checks format and lint of all sources but the generated ones.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v '^wire/generated/')
clang-format --dry-run --Werror "${sources[@]}"
echo "format is clean"
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cpp$')
printf '%s\n' "${units[@]}" | xargs -P 8 -n 2 clang-tidy -p build/release --quiet 2>/dev/null
echo "lint is clean"
