"""Tornado's HTTP/1 client connection, adapted to what a proxy must know."""

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPMessageDelegate
from tornado.iostream import IOStream, StreamClosedError

READ_BYTES = 65536


class UpstreamStream(IOStream):
    """A stream that tells whether bytes arrived that nobody has read."""

    def has_unread_bytes(self) -> bool:
        """Tell whether bytes wait in the buffer; after an answer they belong to no request."""
        return bool(self._read_buffer_size)


class UpstreamHttp(HTTP1Connection):
    """Reads an answer without a length as it comes; tornado would keep it until its end."""

    async def _read_body_until_close(self, delegate: HTTPMessageDelegate) -> None:
        while True:
            try:
                content = await self.stream.read_bytes(READ_BYTES, partial=True)
            except StreamClosedError:
                if self.stream.error is not None:
                    # A reset; only a regular close ends such a body.
                    raise
                return
            waiting = delegate.data_received(content)
            if waiting is not None:
                await waiting
