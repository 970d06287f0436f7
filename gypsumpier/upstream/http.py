"""Tornado's HTTP/1 client connection, adapted for a proxy."""

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPMessageDelegate
from tornado.iostream import IOStream, StreamClosedError

READ_BYTES = 65536


class UpstreamStream(IOStream):
    """A stream that can report whether it has buffered bytes that were not read."""

    def has_unread_bytes(self) -> bool:
        """Return whether bytes are buffered; after an answer they belong to no request."""
        return bool(self._read_buffer_size)


class UpstreamHttp(HTTP1Connection):
    """Delivers a body without a length as it arrives; tornado would buffer it until its end."""

    async def _read_body_until_close(self, delegate: HTTPMessageDelegate) -> None:
        while True:
            try:
                content = await self.stream.read_bytes(READ_BYTES, partial=True)
            except StreamClosedError:
                if self.stream.error is not None:
                    # A connection reset; only a regular close ends such a body.
                    raise
                return
            waiting = delegate.data_received(content)
            if waiting is not None:
                await waiting
