"""Detects that this process did not run: stopped, suspended with its machine, or busy for long.

Whatever arrives meanwhile waits in the buffers of the machine, so that the time at which it is read
says nothing about the time at which it was sent.
"""

import asyncio
from typing import Final

from prometheus_client import Counter

from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.log import decision
from gypsumpier.metrics import REGISTRY

TICK_S: Final = 0.05
"""Seconds between two ticks of a process that runs."""
STALL_MIN_S: Final = 0.25
"""Seconds without a tick from which a process counts as stalled; a busy one is late by less."""
BACKLOG_MAX_S: Final = 1.0
"""Longest time in seconds after a stall within which the process may still read what has waited
meanwhile; after a short stall it is the duration of the stall."""

STALLS: Final = Counter(
    "gypsumpier_stalls", "Times that the process did not run.", registry=REGISTRY
)
STALLED_SECONDS: Final = Counter(
    "gypsumpier_stalled_seconds", "Seconds that the process did not run.", registry=REGISTRY
)


class StallMonitor:
    """Notices stalls by late ticks.  Times are those of ``boot_time_s``.

    ``began_at_s`` is the begin of the last stall, and ``read_by_s`` is the time by
    which what has waited meanwhile is read; stalls before that time count as one with the last.
    """

    def __init__(self) -> None:
        self.ticked_at_s = boot_time_s()
        self.began_at_s = float("-inf")
        self.read_by_s = float("-inf")

    async def run(self) -> None:
        """Tick until the task is cancelled."""
        self.ticked_at_s = boot_time_s()
        while True:
            await asyncio.sleep(TICK_S)
            self.tick()

    def tick(self) -> None:
        """Record a tick, and the stall that it ends; log the stall."""
        now_s = boot_time_s()
        stalled_s = now_s - self.ticked_at_s
        if stalled_s >= STALL_MIN_S:
            if self.ticked_at_s > self.read_by_s:
                self.began_at_s = self.ticked_at_s
            self.read_by_s = now_s + min(stalled_s, BACKLOG_MAX_S)
            STALLS.inc()
            STALLED_SECONDS.inc(stalled_s)
            decision("process_stalled", stalled_s=round(stalled_s, 3))
        self.ticked_at_s = now_s

    def running_since_s(self) -> float:
        """Return the earliest time at which data that is read now may have arrived.

        That is the present time, except during and shortly after a stall.
        """
        now_s = boot_time_s()
        if now_s <= self.read_by_s:
            return self.began_at_s
        return self.ticked_at_s if now_s - self.ticked_at_s >= STALL_MIN_S else now_s
