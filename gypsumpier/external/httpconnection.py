"""One call of tornado's HTTP client, bounded against servers that never stop to send."""

from typing import Any, Final

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.iostream import IOStream
from tornado.simple_httpclient import (
    HTTPStreamClosedError,
    SimpleAsyncHTTPClient,
    _HTTPConnection,
)

from gypsumpier.upstream.http import UpstreamHttp

HEAD_MAX_BYTES: Final = 64 * 1024
"""Bytes of the head of an answer."""


class BoundedConnection(_HTTPConnection):
    """Reads the answer as the entries read those of upstreams.

    ``content`` is the body: a list of tiny parts, as tornado holds it, takes many times their size.
    """

    def __init__(self, *args: Any) -> None:
        self.content = bytearray()
        super().__init__(*args)

    def _create_connection(self, stream: IOStream) -> HTTP1Connection:
        stream.set_nodelay(True)
        parameters = HTTP1ConnectionParameters(
            no_keep_alive=True,
            max_header_size=HEAD_MAX_BYTES,
            max_body_size=self.max_body_size,
            decompress=bool(self.request.decompress_response),
        )
        return UpstreamHttp(stream, True, parameters, self._sockaddr)

    def data_received(self, chunk: bytes) -> None:
        if self.request.streaming_callback is None:
            self.content += chunk
        else:
            super().data_received(chunk)

    def finish(self) -> None:
        self.chunks = [bytes(self.content)]
        super().finish()

    def on_connection_close(self) -> None:
        # The base class raises the connection's error, which hides it from the caller.
        if self.final_callback is not None:
            error = HTTPStreamClosedError(f"Connection closed: {self.stream.error}")
            self._handle_exception(HTTPStreamClosedError, error, None)


class BoundedHttpClient(SimpleAsyncHTTPClient):
    """Tornado's client with BoundedConnection."""

    def _connection_class(self) -> type:
        return BoundedConnection
