"""Tells interim answers from the final one, and both from heads with a status that is none."""

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

FIRST_STATUS: Final = 100
FIRST_FINAL_STATUS: Final = 200
LAST_STATUS: Final = 599
SWITCHING_PROTOCOLS: Final = 101
"""Ends the conversation in HTTP; the requests that this process sends never ask for that."""
PARTS_BEFORE_PAUSE: Final = 256
"""Parts of a body after which other tasks run, as buffered bytes are read without a wait."""


class FinalAnswer(HTTPMessageDelegate):
    """Passes a final answer on, and ends the reading of any other one behind its head.

    ``has_head`` is set once a head was read, ``is_interim`` if it is that of an interim answer, and
    ``invalid_status`` to its status if no answer has that; the connection is then detached.
    """

    def __init__(self, connection: HTTP1Connection, delegate: HTTPMessageDelegate) -> None:
        self.connection = connection
        self.delegate = delegate
        self.has_head = False
        self.is_interim = False
        self.invalid_status: int | None = None
        self.part_count = 0

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, ResponseStartLine)
        self.has_head = True
        if not is_status(start_line.code):
            self.invalid_status = start_line.code
            self.connection.detach()
            return None
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


def is_status(code: int) -> bool:
    """Return whether an answer to a request of this process may have that status."""
    return FIRST_STATUS <= code <= LAST_STATUS and code != SWITCHING_PROTOCOLS
