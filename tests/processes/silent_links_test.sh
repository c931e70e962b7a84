#!/usr/bin/env bash
# Guards against links that go silent without an end: agents that never connect again, entries that keep the sockets.
set -euo pipefail
cd "$(dirname "$0")/../.."
BUILD=${BUILD:-build/release} PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=misc tests/processes/silent_links.py
