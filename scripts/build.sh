#!/usr/bin/env bash
# Installs missing packages and builds a preset, by default release. Usage: build.sh [PRESET]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
preset=${1:-release}
cmake --preset "$preset" >/dev/null
cmake --build "build/$preset" -j8
