#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are Python sources, which need no build: this checks that Python 3.11 or later is there
# and that each source compiles. Writes nothing. The programs under test come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
shopt -s nullglob
python3 -B - review/stand_ins_2/*.py review/[6-9]/case.py review/1[0]/case.py <<'CHECK'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
print(f"{len(sys.argv) - 1} stand-ins and cases checked")
CHECK
