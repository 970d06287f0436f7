"""Reads an HTTP body up to a limit and refuses a larger one with a result code.

On its own, tornado answers a body over its limit with a bare 400.  Here the rest of such a body is
read and discarded, so that a caller that is still sending can read the refusal.  The server's
``body_timeout`` bounds how long that takes.
"""

from typing import Final

from tornado.http1connection import HTTP1Connection
from tornado.web import RequestHandler, stream_request_body

from gypsumpier.codes.result import ResultCode
from gypsumpier.errors import GypsumpierError

MAX_DISCARDED_BODY_BYTES: Final = 1024 * 1024 * 1024


@stream_request_body
class BoundedBody(RequestHandler):
    """Base of handlers that call ``set_body_limit`` in ``prepare``, and ``whole_body`` later."""

    def set_body_limit(self, limit_bytes: int, code: ResultCode) -> None:
        """Set the limit and the result code for a larger body."""
        self.limit_bytes = limit_bytes
        self.too_large_code = code
        self.received_bytes = 0
        self.parts: list[bytes] = []
        if isinstance(self.request.connection, HTTP1Connection):
            self.request.connection.set_max_body_size(MAX_DISCARDED_BODY_BYTES)

    def data_received(self, chunk: bytes) -> None:
        """Store a chunk of the body, or discard the body once it is over the limit."""
        self.received_bytes += len(chunk)
        if self.received_bytes <= self.limit_bytes:
            self.parts.append(chunk)
        else:
            self.parts.clear()

    def whole_body(self) -> bytes:
        """Return the body; raise GypsumpierError if it is over the limit."""
        if self.received_bytes > self.limit_bytes:
            detail = f"{self.received_bytes} of {self.limit_bytes} bytes"
            raise GypsumpierError(self.too_large_code, detail)
        return b"".join(self.parts)
