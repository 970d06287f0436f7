#!/bin/sh
# Usage: review/1/run.sh; TROUBLE=0 leaves the drill out.
cd "$(dirname "$0")/../.." && PYTHONDONTWRITEBYTECODE=1 exec python3 review/1/case.py
