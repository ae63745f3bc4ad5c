#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. All of them are Python sources that need no build
# (review/standins-2); this checks that they can be read. The daemon itself comes from the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - review/standins-2/*.py review/[67]/case.py review/finding-2-quota/case.py <<'END'
import pathlib
import sys

for name in sys.argv[1:]:
    if pathlib.Path(name).exists():
        compile(pathlib.Path(name).read_text(), name, "exec")
END
test -x target/cornelwell || echo "target/cornelwell is missing: run the build of deploy/system.toml first"
