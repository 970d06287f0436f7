#!/bin/sh
# Usage: review/five.sh N; runs a script five times and once with TROUBLE=0, which comes first.
cd "$(dirname "$0")/.." || exit 2
TROUBLE=0 "review/$1/run.sh"; echo "TROUBLE=0: exit with $?"
for turn in 1 2 3 4 5; do "review/$1/run.sh" > "/tmp/review-$1.txt"; echo "run $turn: exit with $?"; tail -2 "/tmp/review-$1.txt"; done
