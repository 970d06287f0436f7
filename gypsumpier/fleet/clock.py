"""The clock by which the age of the fleet state is measured."""

import time


def boot_time_s() -> float:
    """Return seconds on a clock that also advances while the machine is suspended.

    The monotonic clock does not: stale state would seem fresh after a suspension of any length.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
