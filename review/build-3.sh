#!/usr/bin/env bash
# The stand-ins of this review's scripts are Python programs, and none of the project's own stand-ins is started, so nothing is compiled. Checks that
# the interpreter is there, that it reads the programs, and that the build of the deploy file has been made.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys, tomllib, asyncio; sys.exit(sys.version_info < (3, 11))'
for file in review/stand_ins_3/*.py review/1[1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
test -x target/fleet/sardinelb-fleet
