#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: they are in Python, of which only the standard library (3.11) is used.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common-2/*.py [0-9]*/case.py <<'PYTHON'
import sys
import tomllib  # Part of Python 3.11.
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
PYTHON
