#!/usr/bin/env bash
# A short soak with a fixed seed: real programs of the platform path under random faults.
set -euo pipefail
cd "$(dirname "$0")/../.."
BUILD=${BUILD:-build/release} misc/soak.py --seed 2 --seconds 5 --base-port 13000
