#!/bin/sh
# The stand-ins of the cases are Python programs of the standard library; there is nothing to compile.
# Checks that they can be read, so that a case does not fail later for that.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 python3 -c '
import ast, pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
'
