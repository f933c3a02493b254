#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken.
set -euo pipefail
cd "$(dirname "$0")"
exec env PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../rig-2 python3 case.py
