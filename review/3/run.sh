#!/bin/sh
# TROUBLE=0 leaves the freeze out.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../common exec python3 frozen_entry.py
