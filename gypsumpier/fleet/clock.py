"""The clock by which the age of the fleet state is measured."""

import time

from gypsumpier.clock import SystemClock


def boot_time_s() -> float:
    """Return seconds on a clock that also advances while the machine is suspended.

    The monotonic clock does not: stale state would seem fresh after a suspension of any length.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BootClock(SystemClock):
    """The system's clock, with ``boot_time_s`` as its monotonic time.

    Messages that wait in the buffers of a suspended machine are as late as the suspension is long.
    """

    def monotonic(self) -> float:
        return boot_time_s()
