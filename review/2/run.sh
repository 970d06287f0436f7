#!/bin/sh
# Usage: run.sh; TROUBLE=0 leaves the disruption out. SPOILT=0 leaves the spoilt answer out, not the final fault.
here="$(cd "$(dirname "$0")" && pwd)" && cd "$here/../.." && PYTHONDONTWRITEBYTECODE=1 exec python3 "$here/case.py"
