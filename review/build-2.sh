#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are Python programs without any dependency
# beyond the standard library, so this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - rig-2/*.py [0-9]*/case.py <<'CHECK'
import ast
import pathlib
import sys
import tomllib  # Python 3.11 or later

for name in sys.argv[1:]:
    ast.parse(pathlib.Path(name).read_text(), name)
CHECK
