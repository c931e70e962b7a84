#!/bin/sh
# TROUBLE=0 leaves the heartbeat out.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../common exec python3 foreign_heartbeat.py
