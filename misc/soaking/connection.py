"""A caller's persistent connection to an entry."""

import asyncio
import time
from typing import Final, NamedTuple

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError
from tornado.tcpclient import TCPClient

CONNECT_TIMEOUT_S: Final = 1.0
CUT: Final = 0
"""Takes the place of the status where the connection ended before the answer was complete."""
NOT_CONNECTED: Final = -1
"""Takes the place of the status where no connection could be opened."""
TIMED_OUT: Final = -2
"""Takes the place of the status where the caller's time limit passed."""


class Answer(NamedTuple):
    """The answer to a caller; ``status`` is below 100 where the answer is incomplete.

    ``whole_at_s`` is when the last byte of the request was sent; infinite if it never was.
    """

    status: int
    headers: HTTPHeaders
    body: bytes
    whole_at_s: float = float("inf")


class Collector(HTTPMessageDelegate):
    """Collects one answer."""

    def __init__(self) -> None:
        self.status = CUT
        self.headers = HTTPHeaders()
        self.body = b""
        self.is_complete = False
        self.ended = asyncio.Event()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        self.status, self.headers = start_line.code, headers

    def data_received(self, chunk: bytes) -> None:
        self.body += chunk

    def finish(self) -> None:
        self.is_complete = True
        self.ended.set()


class CallerConnection:
    """Connects on the first request, and again after the connection was closed."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.stream: IOStream | None = None

    async def call(
        self,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
        body_delay_s: float = 0.0,
    ) -> Answer:
        """Send one request and return its answer; failures are statuses, not exceptions.

        The body follows the head after ``body_delay_s`` seconds, unless the answer is complete or
        the connection is closed by then.
        """
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                stream = await self.open_stream()
        except (OSError, StreamClosedError, TimeoutError):
            return Answer(NOT_CONNECTED, HTTPHeaders(), b"")
        collector = Collector()
        http = HTTP1Connection(stream, True, HTTP1ConnectionParameters(decompress=False))
        own = HTTPHeaders({**headers, "Content-Length": str(len(body))})
        whole_at_s, is_late = float("inf"), False
        reading = None
        try:
            async with asyncio.timeout(timeout_s):
                http.write_headers(RequestStartLine("POST", path, "HTTP/1.1"), own)
                reading = asyncio.ensure_future(http.read_response(collector))
                reading.add_done_callback(lambda _: collector.ended.set())
                if not body_delay_s or not await ends_within(collector, body_delay_s):
                    await http.write(body)
                    http.finish()
                    whole_at_s = time.monotonic()
                await collector.ended.wait()
                if not collector.is_complete:
                    await reading
        except TimeoutError:
            is_late = True
        except (StreamClosedError, UnsatisfiableReadError, HTTPInputError, OSError):
            self.close()
        finally:
            if reading is not None:
                reading.cancel()
                await asyncio.wait({reading})
        if not collector.is_complete or whole_at_s == float("inf") or closes(collector):
            self.close()
        status = collector.status if collector.is_complete else TIMED_OUT if is_late else CUT
        return Answer(status, collector.headers, collector.body, whole_at_s)

    async def open_stream(self) -> IOStream:
        """Return the open connection, or a new one."""
        if self.stream is None or self.stream.closed():
            self.stream = await TCPClient().connect("127.0.0.1", self.port)
        return self.stream

    def close(self) -> None:
        """Close the connection."""
        if self.stream is not None:
            self.stream.close()
            self.stream = None


async def ends_within(collector: Collector, seconds: float) -> bool:
    """Wait for so many seconds; return True as soon as the answer or the connection has ended."""
    try:
        async with asyncio.timeout(seconds):
            await collector.ended.wait()
    except TimeoutError:
        return False
    return True


def closes(collector: Collector) -> bool:
    """Return whether the answer announces the close of its connection."""
    return collector.headers.get("Connection", "").lower() == "close"
