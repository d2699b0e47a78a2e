#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the node: the stand-ins are Python and need
# no build, so this checks that they can be read by the interpreter that is here. Writes nothing.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins-2/*.py [6-9]/case.py 10/case.py <<'PY'
import os
import sys

assert sys.version_info >= (3, 11), "the stand-ins need Python 3.11"
for name in sys.argv[1:]:
    if os.path.exists(name):
        with open(name, encoding="utf-8") as source:
            compile(source.read(), name, "exec")
PY
echo "the stand-ins can be run"
