"""Tells interim answers from the final one."""

import asyncio
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
PARTS_BEFORE_PAUSE: Final = 256
"""Parts of a body after which other tasks run, as buffered bytes are read without a wait."""


class FinalAnswer(HTTPMessageDelegate):
    """Passes a final answer on, and ends the reading of an interim one behind its head.

    ``has_head`` is set once a head was read, ``is_interim`` if it is that of an interim answer,
    whose connection is then detached.
    """

    def __init__(self, connection: HTTP1Connection, delegate: HTTPMessageDelegate) -> None:
        self.connection = connection
        self.delegate = delegate
        self.has_head = False
        self.is_interim = False
        self.part_count = 0

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, ResponseStartLine)
        self.has_head = True
        if start_line.code < FIRST_FINAL_STATUS:
            self.is_interim = True
            self.connection.detach()
            return None
        return self.delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        waiting = self.delegate.data_received(chunk)
        self.part_count += 1
        if waiting is None and self.part_count % PARTS_BEFORE_PAUSE == 0:
            return asyncio.sleep(0)
        return waiting

    def finish(self) -> None:
        self.delegate.finish()

    def on_connection_close(self) -> None:
        self.delegate.on_connection_close()
