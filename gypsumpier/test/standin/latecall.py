"""Calls that an engine carries out late and doesn't answer."""

import asyncio
from typing import Any

from gypsumpier.test.standin.server import StandinHandler


class LateCalls:
    """The calls that are still to be carried out, in the order in which they arrived.

    Each is carried out ``late_s`` seconds after its arrival, or as soon as its event is set.
    Then its connection is closed, or stays open without an answer if ``keeps_open`` is set.
    """

    def __init__(self) -> None:
        self.late_s = 4.0
        self.keeps_open = False
        self.waiting: list[asyncio.Event] = []

    async def wait(self) -> None:
        """Hold one call back."""
        release = asyncio.Event()
        self.waiting.append(release)
        try:
            async with asyncio.timeout(self.late_s):
                await release.wait()
        except TimeoutError:
            return
        finally:
            self.waiting.remove(release)


class LateCallHandler(StandinHandler):
    """Base of handlers whose calls may go without an answer."""

    def end_unanswered(self) -> None:
        """End the call without an answer; the caller may have closed the connection before."""
        self._auto_finish = False
        if self.state.late_calls.keeps_open:
            return
        connection: Any = self.request.connection
        connection.stream.close()
