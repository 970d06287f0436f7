"""A protocol for time, so that a whole process can run under a virtual clock."""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Source of time and of sleeping."""

    def monotonic(self) -> float:
        """Return seconds of a clock that never goes back."""

    def wall(self) -> float:
        """Return seconds since the epoch; only for display and for keys that contain a time."""

    async def sleep(self, seconds: float) -> None:
        """Sleep for ``seconds``."""


class SystemClock:
    """The clock of the operating system."""

    def monotonic(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
