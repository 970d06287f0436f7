"""A stand-in for a model engine that ends when it begins to write on certain prompts."""

import asyncio
import time
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from tornado.iostream import StreamClosedError
from tornado.web import Application

from gypsumpier.test.gatewayfleet import free_port
from gypsumpier.test.standin.platform import UpstreamHandler, UpstreamStandin
from gypsumpier.test.standin.server import StandinHandler, listen
from gypsumpier.wire.reset import reset

READ_S: Final = 0.02
"""Seconds for which an engine reads a prompt before it begins to write."""
CRASH_S: Final = 0.04
"""Seconds from the beginning of a fatal answer to the end of the engine; an event gets out."""
DOWN_S: Final = 1.0
"""Seconds after which an engine that has ended serves again."""


class Arrival(NamedTuple):
    """A request that reached an engine, at a monotonic time, and the parts of its prompt."""

    request_id: str
    parts: tuple[str, ...]
    at_s: float


class CrashingEngine(UpstreamStandin):
    """An engine that ends under prompts with one of ``fatal_parts``, and starts again.

    ``crashed_at_s`` are the monotonic times of its ends; ``on_start`` is called at each new start.
    """

    def __init__(self, name: str, fatal_parts: set[str]) -> None:
        self.fatal_parts = fatal_parts
        self.arrivals: list[Arrival] = []
        self.crashed_at_s: list[float] = []
        self.down_s = DOWN_S
        self.is_down = False
        self.on_start: Callable[[], None] = lambda: None
        super().__init__(name)
        # A port that no outgoing connection takes while the engine is down.
        self.server.stop()
        self.server, self.port = listen(Application(self.handlers()), free_port())

    def handlers(self) -> list[tuple[str, type[StandinHandler], dict[str, Any]]]:
        return [(r".*", CrashingHandler, {"state": self})]

    @property
    def starts(self) -> int:
        """How often the engine has ended, which tells its starts apart."""
        return len(self.crashed_at_s)

    def is_fatal(self, parts: tuple[str, ...]) -> bool:
        """Return whether the engine ends under a prompt with these parts."""
        return not self.fatal_parts.isdisjoint(parts)

    def crash(self) -> None:
        """Reset every connection and refuse new ones until the next start."""
        self.is_down = True
        self.crashed_at_s.append(time.monotonic())
        self.server.stop()
        for connection in list(self.server._connections):
            reset(connection.stream)
        asyncio.get_running_loop().call_later(self.down_s, self.start_again)

    def start_again(self) -> None:
        """Serve on the same port again."""
        self.is_down = False
        self.server, _ = listen(Application(self.handlers()), self.port)
        self.on_start()


class CrashingHandler(UpstreamHandler):
    """Streams an answer, or ends the engine a moment after the answer has begun."""

    async def run(self) -> None:
        parts = prompt_parts(self.request.headers.get("X-Prompt-Prefix", ""))
        request_id = self.request.headers.get("X-Request-Id", "")
        start = self.state.starts
        self.state.arrivals.append(Arrival(request_id, parts, time.monotonic()))
        if await self.closes_within(READ_S):
            return
        if self.state.is_fatal(parts):
            asyncio.get_running_loop().call_later(CRASH_S, self.end_engine, start)
        try:
            await super().run()
        except StreamClosedError:
            return

    def end_engine(self, start: int) -> None:
        """End the engine, unless another request has done so."""
        if self.state.starts == start and not self.state.is_down:
            self.state.crash()


def prompt_parts(text: str) -> tuple[str, ...]:
    """Return the ids of all parts of a prompt."""
    return tuple(item.partition(":")[0] for item in text.split(",") if item)
