"""Keeps the engine's last report and detects that the engine may have lost staged content.

A changed incarnation in the report is a restart.  Not every engine reports its incarnation, so a
failed poll and an increase of free memory also count as restarts.  A false detection costs only
that the chunks are staged again.
"""

import asyncio

from gypsumpier.clock import Clock
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.engine import EngineStatus, LiveModel
from gypsumpier.options import Options
from gypsumpier.weight.inputs import WeightEngine


class EngineMonitor:
    """Polls the engine's status; ``status`` is None until the first report."""

    def __init__(self, options: Options, clock: Clock, engine: WeightEngine) -> None:
        self.options = options
        self.clock = clock
        self.engine = engine
        self.status: EngineStatus | None = None
        self.reports = 0
        self.asked = 0
        self.answered = 0
        self.restarts = 0
        self.unreachable = False
        self.reported = asyncio.Event()

    async def run(self) -> None:
        """Poll until cancelled.  A failed poll leaves the last report in place."""
        while True:
            await self.poll()
            await self.clock.sleep(self.options.engine_poll_s)

    async def poll(self) -> None:
        """Request one report and wake the tasks that wait for it."""
        self.asked += 1
        number = self.asked
        try:
            status = await self.engine.status()
        except GypsumpierError:
            self.unreachable = True
            return
        if self.unreachable or self.shows_restart(status):
            self.restarts += 1
        self.unreachable = False
        self.status = status
        self.reports += 1
        self.answered = number
        self.reported.set()
        self.reported = asyncio.Event()

    def shows_restart(self, status: EngineStatus) -> bool:
        """Return whether the engine may have been restarted since the last report."""
        if self.status is None:
            return False
        grown = status.free_memory_bytes > self.status.free_memory_bytes
        return grown or status.incarnation != self.status.incarnation

    async def next_report(self) -> EngineStatus:
        """Wait for a report that is requested after this call and return it.

        One that is on its way already may have been made before what the caller has just done.
        """
        known = self.asked
        while self.answered <= known:
            await self.reported.wait()
        assert self.status is not None
        return self.status

    def run_name(self) -> str:
        """Return a name that changes once orders to the engine may have been lost by its end."""
        return self.incarnation() or f"after {self.restarts} possible restarts"

    def incarnation(self) -> str:
        """Return the engine's last reported incarnation, or empty where it reports none."""
        return "" if self.status is None else self.status.incarnation

    def live(self) -> list[LiveModel]:
        """Return the contents that the engine last reported as live."""
        return [] if self.status is None else self.status.live
