#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "${BASH_SOURCE[0]}")" && exec timeout 110 python3 -B play.py
