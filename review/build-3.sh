#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: they need nothing but Python's standard library.
cd "$(dirname "$0")/.." && exec python3 -c "import ast, sys
for name in sys.argv[1:]:
    ast.parse(open(name).read(), name)" review/lab_3.py review/1[1-5]/case.py
