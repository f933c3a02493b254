#!/usr/bin/env bash
# Builds what the scripts start beside the product. The stand-ins and clients are in Python and use
# only its standard library, so all there is to do is to check that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - rig/*.py [0-9]/*.py <<'PYTHON'
import sys

if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or later is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print(f"{len(sys.argv) - 1} files are fit to run with Python {sys.version.split()[0]}")
PYTHON
