"""Runs the unit tests and prints the counts that CI reads.

The last line is always ``N passed, N failed``, counted from the run.  A test listed in
KNOWN-RED.txt is run; its failure is printed but doesn't change the exit status.  A listed test
that passes is printed as well, as its entry should be removed.

Each module runs in a process of its own, a few at a time: many tests wait for real time to pass.
"""

import io
import multiprocessing
import sys
import time
import unittest
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Final, NamedTuple

KNOWN_RED_PATH: Final = Path("KNOWN-RED.txt")
TESTS_PATH: Final = Path("gypsumpier/test")
MODULES_AT_ONCE: Final = 3
"""Modules that run at the same time; tests that measure time need a processor of their own."""


class ModuleResult(NamedTuple):
    """The result of one module; ``failed`` are the ids of its tests that failed."""

    name: str
    output: str
    run_count: int
    skipped_count: int
    failed: frozenset[str]
    took_s: float


def main() -> int:
    """Run the tests named on the command line, or all of them; return the exit status."""
    names = sys.argv[1:] or test_modules()
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(MODULES_AT_ONCE, context, max_tasks_per_child=1) as pool:
        results = []
        for result in pool.map(run_module, names):
            print(f"{result.name}: {result.run_count} tests in {result.took_s:.1f} s", flush=True)
            if result.failed or not result.run_count:
                print(result.output, flush=True)
            results.append(result)
    return report(results)


def report(results: list[ModuleResult]) -> int:
    """Print what failed and the counts; return the exit status."""
    failed = frozenset().union(*(result.failed for result in results))
    known_red = known_red_tests()
    for name in sorted(failed & known_red):
        print(f"known red: {name} failed")
    for name in sorted(known_red - failed):
        print(f"known red: {name} did not fail in this run")
    for name in sorted(failed - known_red):
        print(f"failed: {name}")
    run_count = sum(result.run_count for result in results)
    skipped_count = sum(result.skipped_count for result in results)
    print(f"{run_count - len(failed) - skipped_count} passed, {len(failed)} failed")
    return 1 if failed - known_red or run_count == 0 else 0


def test_modules() -> list[str]:
    """Return the names of all test modules."""
    return sorted(".".join(path.with_suffix("").parts) for path in TESTS_PATH.glob("test_*.py"))


def run_module(name: str) -> ModuleResult:
    """Run the tests of one module; one that can't be loaded counts as a failed test."""
    began_s = time.monotonic()
    output = io.StringIO()
    suite = unittest.TestLoader().loadTestsFromName(name)
    result = unittest.TextTestRunner(verbosity=1, stream=output).run(suite)
    return ModuleResult(
        name,
        output.getvalue(),
        result.testsRun,
        len(result.skipped),
        frozenset(failed_tests(result)),
        time.monotonic() - began_s,
    )


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
