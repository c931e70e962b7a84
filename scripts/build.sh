#!/usr/bin/env bash
# Installs what is missing and builds one preset, release unless another is named.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
preset=${1:-release}
cmake --preset "$preset" >/dev/null
cmake --build "build/$preset" -j8
