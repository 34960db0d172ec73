#!/bin/sh
cd "$(dirname "$0")/../../.." || exit 2
export PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1
exec python3 review/rig3/limit/case.py
