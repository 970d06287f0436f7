"""Answers of servers whose bytes never end, and the base of tests with them."""

import asyncio
import gc
import logging
import time
import unittest
from collections.abc import Callable
from typing import Final
from unittest import mock

from gypsumpier.test.standin.endless import EndlessServer

ENDLESS: Final = "i-9"
SENT_MAX_BYTES: Final = 24 * 1024 * 1024
"""Bytes that one answer may take: what is held, and the buffers of both ends of a connection."""
LAG_MAX_S: Final = 1.5
"""Seconds that one answer may hold up the event loop, on a busy machine."""
CLOSE_TIMEOUT_S: Final = 5.0
READ_TIMEOUT_S: Final = 30.0
CALLS_MAX: Final = 60
TINY_CHUNK_COUNT: Final = 10_000
COMMAND_LIMIT_S: Final = 3.0
EVENTS: Final = "".join(f"id: {number}\ndata: event {number}\n\n" for number in range(1, 6))
INTERIM: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
GARBAGE: Final = b"\x01garbage" * 8192
HEADER_LINES: Final = b"X-Filler: filler\r\n" * 4096
FILLER: Final = b"filler--" * 8192
TINY_CHUNKS: Final = b"1\r\nx\r\n" * 8192


def nothing(request_id: str) -> bytes:
    """Return no bytes."""
    return b""


def head(*lines: str) -> Callable[[str], bytes]:
    """Return what builds the head of an answer with these header lines."""

    def build(request_id: str) -> bytes:
        own = (f"X-Request-Id: {request_id}", "X-Server-Seal: seal")
        return "\r\n".join(("HTTP/1.1 200 OK", *own, *lines, "", "")).encode()

    return build


def whole_answer(request_id: str) -> bytes:
    """Return a complete answer."""
    return head("Content-Length: 5")(request_id) + b"whole"


def whole_answer_after_interim(request_id: str) -> bytes:
    """Return an interim answer and a complete answer."""
    return INTERIM + whole_answer(request_id)


def begun_stream(request_id: str) -> bytes:
    """Return the head of a stream and its first event."""
    return head("Content-Type: text/event-stream")(request_id) + b"id: 1\ndata: event 1\n\n"


class EndlessTest(unittest.IsolatedAsyncioTestCase):
    """Checks after each test that nothing was left behind."""

    async def asyncSetUp(self) -> None:
        self.unhandled: list[object] = []
        errors = logging.Handler(logging.ERROR)
        patched = mock.patch.object(errors, "emit", lambda found: self.unhandled.append(found.msg))
        patched.start()
        self.addCleanup(patched.stop)
        logging.getLogger("tornado").addHandler(errors)
        self.addCleanup(logging.getLogger("tornado").removeHandler, errors)
        self.lag_s = 0.0
        loop = asyncio.get_running_loop()
        # The debug mode of the test case takes many times as long for each future.
        loop.set_debug(False)
        loop.set_exception_handler(lambda _, context: self.unhandled.append(context))
        self.ticker = asyncio.create_task(self.tick())
        self.servers: list[EndlessServer] = []

    async def asyncTearDown(self) -> None:
        self.ticker.cancel()
        for server in self.servers:
            await server.stop()

    async def tick(self) -> None:
        """Measure for how long the event loop is held up."""
        while True:
            began_s = time.monotonic()
            await asyncio.sleep(0.01)
            self.lag_s = max(self.lag_s, time.monotonic() - began_s)

    async def serve(
        self, begin: Callable[[str], bytes], piece: bytes, pause_s: float = 0.0
    ) -> EndlessServer:
        """Start a server whose bytes never end."""
        server = EndlessServer(begin, piece, pause_s)
        self.servers.append(server)
        await server.start()
        return server

    async def check_end(self, server: EndlessServer) -> None:
        """Assert that connections are closed, and memory and loop were left to other requests."""
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            while server.open:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        gc.collect()
        self.assertLess(server.sent_bytes, SENT_MAX_BYTES)
        self.assertLess(self.lag_s, LAG_MAX_S, "seconds of a held-up event loop")
        self.assertEqual([], self.unhandled)
