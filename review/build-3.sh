#!/usr/bin/env bash
# Prepares the stand-ins of review/11 to review/15. They are Python programs of review/rig-3 and
# need no compiler; this checks that the interpreter can run them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - rig-3/*.py 1[1-5]/*.py <<'CHECK'
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or newer")
for path in sys.argv[1:]:
    if "*" not in path:
        with open(path, encoding="utf-8") as file:
            compile(file.read(), path, "exec")
CHECK
