"""Runs a stand-in that can stand still like a process that gets no processor time."""

import asyncio
import threading
import time
from collections.abc import Callable
from typing import Final, Generic, Protocol, TypeVar

from tornado.httpserver import HTTPServer

STOP_TIMEOUT_S: Final = 5.0
"""Seconds for a stand-in to stop, which includes the rest of its last pause."""


class Standin(Protocol):
    """A stand-in that serves HTTP."""

    server: HTTPServer


Found = TypeVar("Found", bound=Standin)


class PausableStandin(Generic[Found]):
    """A stand-in in a thread and an event loop of its own.

    While it pauses, the kernel still accepts connections and bytes for it, but it reads and writes
    nothing and notices no close.  Timers that fall due in the meantime fire once it goes on.
    """

    def __init__(self, build: Callable[[], Found]) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

        async def build_in_loop() -> Found:
            return build()

        found = asyncio.run_coroutine_threadsafe(build_in_loop(), self.loop)
        self.standin = found.result(STOP_TIMEOUT_S)

    def pause(self, seconds: float, act_first: Callable[[], None] = lambda: None) -> float:
        """Stand still for so many seconds; return the monotonic time at which it goes on.

        ``act_first`` is called in the stand-in's event loop, which then handles nothing any more.
        """
        began = threading.Event()
        ends_at_s = time.monotonic() + seconds

        def stand_still() -> None:
            act_first()
            began.set()
            time.sleep(max(0.0, ends_at_s - time.monotonic()))

        self.loop.call_soon_threadsafe(stand_still)
        began.wait()
        return ends_at_s

    def stop(self) -> None:
        """Stop the stand-in and its thread."""

        async def close() -> None:
            self.standin.server.stop()
            await self.standin.server.close_all_connections()

        asyncio.run_coroutine_threadsafe(close(), self.loop).result(STOP_TIMEOUT_S)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(STOP_TIMEOUT_S)
        self.loop.close()
