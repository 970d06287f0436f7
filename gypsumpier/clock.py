"""Time, behind a protocol, so that a whole process can run under a virtual clock."""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Source of time and of waiting."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""

    def wall(self) -> float:
        """Return seconds since the epoch; only for display and for keys that carry a time."""

    async def sleep(self, seconds: float) -> None:
        """Wait for that many seconds."""


class SystemClock:
    """The clock of the machine."""

    def monotonic(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
