"""Tells interim answers from the final one."""

from collections.abc import Awaitable
from typing import Final

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

FIRST_FINAL_STATUS: Final = 200


class FinalAnswer(HTTPMessageDelegate):
    """Passes a final answer on, and ends the reading of an interim one behind its head.

    ``is_interim`` is set once an interim answer was read; its connection is then detached.
    """

    def __init__(self, connection: HTTP1Connection, delegate: HTTPMessageDelegate) -> None:
        self.connection = connection
        self.delegate = delegate
        self.is_interim = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code < FIRST_FINAL_STATUS:
            self.is_interim = True
            self.connection.detach()
            return None
        return self.delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return self.delegate.data_received(chunk)

    def finish(self) -> None:
        self.delegate.finish()

    def on_connection_close(self) -> None:
        self.delegate.on_connection_close()
