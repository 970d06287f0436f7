"""Keeps the engine's last report."""

import asyncio

from gypsumpier.clock import Clock
from gypsumpier.errors import GypsumpierError
from gypsumpier.options import Options
from gypsumpier.platform.engine import Engine, EngineStatus, LiveModel


class EngineMonitor:
    """Polls the engine's status; ``status`` is None until the first report."""

    def __init__(self, options: Options, clock: Clock, engine: Engine) -> None:
        self.options = options
        self.clock = clock
        self.engine = engine
        self.status: EngineStatus | None = None
        self.reports = 0
        self.reported = asyncio.Event()

    async def run(self) -> None:
        """Poll until cancelled.  A failed poll leaves the last report in place."""
        while True:
            await self.poll()
            await self.clock.sleep(self.options.engine_poll_s)

    async def poll(self) -> None:
        """Ask for one report and wake those who wait for it."""
        try:
            self.status = await self.engine.status()
        except GypsumpierError:
            return
        self.reports += 1
        self.reported.set()
        self.reported = asyncio.Event()

    async def next_report(self) -> EngineStatus:
        """Wait for the next report and return it."""
        await self.reported.wait()
        assert self.status is not None
        return self.status

    def live(self) -> list[LiveModel]:
        """Return what the engine last reported live."""
        return [] if self.status is None else self.status.live
