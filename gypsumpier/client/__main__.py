"""Runs the command-line tool as ``python -m gypsumpier.client``."""

import sys

from gypsumpier.client.command import main

if __name__ == "__main__":
    sys.exit(main())
