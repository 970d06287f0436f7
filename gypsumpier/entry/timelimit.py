"""The time limit of one request at an entry."""

import asyncio
from types import TracebackType

from gypsumpier.clock import Clock


class TimeLimit:
    """Ends what runs under it with TimeoutError after so many seconds, or sooner in a stop.

    ``is_cut_short`` is set once a stop has brought the end forward, ``is_running`` until the end.
    """

    def __init__(self, clock: Clock, seconds: float) -> None:
        self.clock = clock
        self.ends_at_s = clock.monotonic() + seconds
        self.is_cut_short = False
        self.is_running = False
        self.timeout = asyncio.timeout(seconds)

    async def __aenter__(self) -> "TimeLimit":
        await self.timeout.__aenter__()
        self.is_running = True
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.is_running = False
        await self.timeout.__aexit__(kind, error, traceback)

    def bring_forward(self, at_s: float) -> None:
        """End at that monotonic time if the limit is later."""
        if self.ends_at_s <= at_s or not self.is_running or self.timeout.expired():
            return
        self.is_cut_short = True
        self.ends_at_s = at_s
        left_s = max(0.0, at_s - self.clock.monotonic())
        self.timeout.reschedule(asyncio.get_running_loop().time() + left_s)
