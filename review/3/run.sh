#!/bin/sh
# Usage: run.sh; TROUBLE=0 leaves the disruption out. LIMIT_TEXT=6.667 states the same limit in three digits.
here="$(cd "$(dirname "$0")" && pwd)" && cd "$here/../.." && PYTHONDONTWRITEBYTECODE=1 exec python3 "$here/case.py"
