#!/bin/sh
# The stand-ins of the third review are Python sources of the standard library (review/standins-3, and case.py of each
# case): nothing is compiled. Checks that they can be read. The daemon comes from the build of deploy/system.toml.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - standins-3/*.py 1[1-4]/*.py finding-3-*/*.py <<'END'
import pathlib
import sys

for name in sys.argv[1:]:
    if pathlib.Path(name).exists():
        compile(pathlib.Path(name).read_text(), name, "exec")
END
test -x ../target/cornelwell || echo "target/cornelwell is missing: run the build of deploy/system.toml first"
