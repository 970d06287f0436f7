"""Runs the unit tests and prints the counts that CI reads.

The last line is always ``N passed, N failed``, counted from the run.  A test listed in
KNOWN-RED.txt is run; its failure is printed but doesn't change the exit status.  A listed test
that passes is printed as well, as its entry should be removed.
"""

import sys
import unittest
from pathlib import Path
from typing import Final

KNOWN_RED_PATH: Final = Path("KNOWN-RED.txt")


def main() -> int:
    """Run the tests named on the command line, or all of them; return the exit status."""
    suite = load_suite(sys.argv[1:])
    result = unittest.TextTestRunner(verbosity=1, stream=sys.stdout).run(suite)
    failed = failed_tests(result)
    known_red = known_red_tests()
    unexpected = failed - known_red
    for name in sorted(failed & known_red):
        print(f"known red: {name} failed")
    for name in sorted(known_red - failed):
        print(f"known red: {name} did not fail in this run")
    print(f"{result.testsRun - len(failed) - len(result.skipped)} passed, {len(failed)} failed")
    return 1 if unexpected or result.testsRun == 0 else 0


def load_suite(names: list[str]) -> unittest.TestSuite:
    """Load the named tests, or discover every test below the package."""
    loader = unittest.TestLoader()
    if names:
        return loader.loadTestsFromNames(names)
    return loader.discover("gypsumpier/test", pattern="test_*.py", top_level_dir=".")


def failed_tests(result: unittest.TestResult) -> set[str]:
    """Return the ids of the tests that failed, had an error or passed unexpectedly."""
    failed = {test_id(test) for test, _ in result.failures + result.errors}
    return failed | {test.id() for test in result.unexpectedSuccesses}


def test_id(test: unittest.TestCase) -> str:
    """Return the id of the test, without the parameters of a sub-test."""
    return test.id().split(" ")[0]


def known_red_tests() -> set[str]:
    """Return the test ids listed in KNOWN-RED.txt; the first word of each entry is the id."""
    if not KNOWN_RED_PATH.exists():
        return set()
    lines = KNOWN_RED_PATH.read_text().splitlines()
    return {line.split()[0] for line in lines if line.strip() and not line.startswith("#")}


if __name__ == "__main__":
    sys.exit(main())
