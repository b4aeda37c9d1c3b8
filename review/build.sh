#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python modules of this folder, so that they only need to be readable as such.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in glob.glob("stand_ins/*.py") + glob.glob("*/case.py"):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON
