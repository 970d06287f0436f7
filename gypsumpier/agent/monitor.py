"""Polls the upstream's status at an interval and updates the listener's health flag."""

import asyncio

from gypsumpier.agent.listener import Listener
from gypsumpier.agent.upstream import Upstream
from gypsumpier.clock import Clock
from gypsumpier.errors import GypsumpierError
from gypsumpier.options import Options
from gypsumpier.tasks import end_task


class Monitor:
    """Component that polls the upstream every ``engine_poll_s`` seconds."""

    def __init__(
        self, options: Options, clock: Clock, upstream: Upstream, listener: Listener
    ) -> None:
        self.options = options
        self.clock = clock
        self.upstream = upstream
        self.listener = listener
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start polling."""
        self.task = asyncio.create_task(self.run())

    async def stop(self) -> None:
        """Stop polling."""
        await end_task(self.task)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            try:
                await self.upstream.refresh()
                self.listener.healthy = True
            except GypsumpierError:
                self.listener.healthy = False
            await self.clock.sleep(self.options.engine_poll_s)
