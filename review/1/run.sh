#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.."
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
exec timeout --preserve-status --signal=TERM --kill-after=1 117 python3 review/1/case.py
