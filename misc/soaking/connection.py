"""A caller's persistent connection to an entry."""

import asyncio
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
    """The answer to a caller; ``status`` is below 100 where the answer is incomplete."""

    status: int
    headers: HTTPHeaders
    body: bytes


class Collector(HTTPMessageDelegate):
    """Collects one answer."""

    def __init__(self) -> None:
        self.status = CUT
        self.headers = HTTPHeaders()
        self.body = b""
        self.is_complete = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        self.status, self.headers = start_line.code, headers

    def data_received(self, chunk: bytes) -> None:
        self.body += chunk

    def finish(self) -> None:
        self.is_complete = True


class CallerConnection:
    """Connects on the first request, and again after the connection was closed."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.stream: IOStream | None = None

    async def call(
        self, path: str, headers: dict[str, str], body: bytes, timeout_s: float
    ) -> Answer:
        """Send one request and return its answer; failures are statuses, not exceptions."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                stream = await self.open_stream()
        except (OSError, StreamClosedError, TimeoutError):
            return Answer(NOT_CONNECTED, HTTPHeaders(), b"")
        collector = Collector()
        http = HTTP1Connection(stream, True, HTTP1ConnectionParameters(decompress=False))
        own = HTTPHeaders({**headers, "Content-Length": str(len(body))})
        try:
            async with asyncio.timeout(timeout_s):
                http.write_headers(RequestStartLine("POST", path, "HTTP/1.1"), own, body)
                http.finish()
                await http.read_response(collector)
        except TimeoutError:
            self.close()
            return Answer(TIMED_OUT, collector.headers, collector.body)
        except (StreamClosedError, UnsatisfiableReadError, HTTPInputError, OSError):
            self.close()
        if not collector.is_complete or collector.headers.get("Connection", "") == "close":
            self.close()
        status = collector.status if collector.is_complete else CUT
        return Answer(status, collector.headers, collector.body)

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
