"""A caller that sends its requests in parts, and what it receives."""

import asyncio
from typing import Final, NamedTuple

from tornado.httputil import HTTPHeaders, parse_response_start_line

from gypsumpier.test.builders_platform import KEY

BODY: Final = b"x" * 2000


class Received(NamedTuple):
    """What a caller received until its connection closed or a whole answer had arrived.

    ``status`` is 0 if there is no answer.
    """

    status: int
    headers: HTTPHeaders
    body: bytes


class SlowCaller:
    """A caller that sends its request in parts."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def connect(self) -> None:
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)

    def send_head(self, request_id: str, path: str, limit_s: float) -> None:
        """Send the head of a request and half of its body."""
        self.writer.write(request_head(request_id, path, limit_s) + BODY[: len(BODY) // 2])

    def send_rest(self) -> None:
        """Send the other half of the body."""
        self.writer.write(BODY[len(BODY) // 2 :])

    async def receive(self) -> Received:
        """Return the next answer; one that is cut has the status 0."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
            start, _, lines = head.decode().partition("\r\n")
            headers = HTTPHeaders.parse(lines)
            body = await self.reader.readexactly(int(headers.get("Content-Length", "0")))
        except (asyncio.IncompleteReadError, ConnectionError):
            return Received(0, HTTPHeaders(), b"")
        return Received(parse_response_start_line(start).code, headers, body)

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


def request_head(request_id: str, path: str, limit_s: float) -> bytes:
    """Return the head of a request that its caller waits for so many seconds."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: lab.example\r\nX-Request-Id: {request_id}\r\n"
        f"X-Key: {KEY}\r\nX-Deadline-Ms: {int(limit_s * 1000)}\r\n"
        f"Content-Length: {len(BODY)}\r\n\r\n"
    ).encode()
