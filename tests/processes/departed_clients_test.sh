#!/usr/bin/env bash
# Guards against review/3: an entry that stood still started the tasks of clients that had left meanwhile.
set -euo pipefail
cd "$(dirname "$0")/../.."
BUILD=${BUILD:-build/release} PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=misc tests/processes/departed_clients.py
