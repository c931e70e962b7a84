#!/usr/bin/env bash
# Checks the layout of the sources, and format and lint of all except generated ones. Uses clang-tidy 16, because
# Debian's default version cannot parse the ranges header of this compiler's standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
tests/layout/layout_test.py
echo "layout is clean"
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v '^wire/generated/')
clang-format --dry-run --Werror "${sources[@]}"
echo "format is clean"
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cpp$')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 2 clang-tidy-16 -p build/release --quiet 2>/dev/null
echo "lint is clean"
