"""The clock that beliefs are aged by."""

import time


def boot_time_s() -> float:
    """Return seconds on a clock that also counts while the machine is suspended.

    The monotonic clock does not: a belief would seem fresh after a pause of any length.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
