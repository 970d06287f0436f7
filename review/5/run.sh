#!/bin/sh
# Usage: run.sh; TROUBLE=0 leaves the disruption out. PLACE=2 makes the fatal part the second one.
here="$(cd "$(dirname "$0")" && pwd)" && cd "$here/../.." && PYTHONDONTWRITEBYTECODE=1 exec python3 "$here/case.py"
