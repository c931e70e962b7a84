#!/bin/sh
# Checks the stand-ins of cases 11 to 15. They are Python programs of the standard library; nothing is compiled.
set -e
cd "$(dirname "$0")"
python3 -c '
import sys, tomllib  # Part of Python 3.11.
for name in sys.argv[1:]:
    with open(name) as file:
        compile(file.read(), name, "exec")
' common-3/*.py 1[1-5]/case.py
