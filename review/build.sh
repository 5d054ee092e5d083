#!/usr/bin/env bash
# Checks that the stand-ins of the cases can be run. They need python3 and its
# standard library.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 - standins/*.py ./*/play.py <<'PYTHON'
import sys

for path in sys.argv[1:]:
    with open(path) as source:
        compile(source.read(), path, "exec")
PYTHON
