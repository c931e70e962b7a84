#!/usr/bin/env bash
# Guards against two runs at once: an agent started an order that came together with its withdrawal.
set -euo pipefail
cd "$(dirname "$0")/../.."
BUILD=${BUILD:-build/release} PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=misc tests/processes/withdrawn_orders.py
