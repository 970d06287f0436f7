"""Notices that this process did not run, so that it may not know of upstreams that became cold."""

from typing import Final

from gypsumpier.fleet.clock import boot_time_s

STALL_MIN_S: Final = 0.5
"""Seconds without a tick from which the process counts as stalled; ticks are 0.05 s apart, and a
busy process is late by less."""


class Stalls:
    """The end of the last stall.  Times are those of ``boot_time_s``.

    Before the first tick there is no stall: a process that starts has read nothing yet.
    """

    def __init__(self) -> None:
        self.ticked_at_s = float("inf")
        self.ended_at_s = float("-inf")

    def tick(self) -> None:
        """Record that the process runs, and the stall that ends now."""
        now_s = boot_time_s()
        if now_s - self.ticked_at_s >= STALL_MIN_S:
            self.ended_at_s = now_s
        self.ticked_at_s = now_s

    def last_ended_at_s(self) -> float:
        """Return the end of the last stall; a stall that no tick has noticed yet ends now."""
        now_s = boot_time_s()
        return now_s if now_s - self.ticked_at_s >= STALL_MIN_S else self.ended_at_s
