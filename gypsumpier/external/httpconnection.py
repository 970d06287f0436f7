"""One call of tornado's HTTP client, bounded against servers that never stop to send."""

import functools
from typing import Any, Final

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.iostream import IOStream
from tornado.simple_httpclient import (
    HTTPStreamClosedError,
    SimpleAsyncHTTPClient,
    _HTTPConnection,
)

from gypsumpier.external.patience import Patience
from gypsumpier.upstream.http import UpstreamHttp

HEAD_MAX_BYTES: Final = 64 * 1024
"""Bytes of the head of an answer."""


class BoundedConnection(_HTTPConnection):
    """Reads the answer as the entries read those of upstreams.

    ``content`` is the body: a list of tiny parts, as tornado holds it, takes many times their size.
    ``times_out_at_s`` is the end of the call in the loop's time, once its answer has extended it.
    """

    def __init__(self, *args: Any) -> None:
        self.content = bytearray()
        self.times_out_at_s = 0.0
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
        patience: Patience | None = getattr(self.request, "patience", None)
        if patience is not None and self.final_callback is not None:
            self.extend_timeout(patience)

    def extend_timeout(self, patience: Patience) -> None:
        """Extend the timeout of the call, as a further part of its answer has arrived."""
        if len(self.content) > patience.large_bytes:
            patience.on_progress()
        ends_at_s = self.start_time + (self.request.request_timeout or 0.0)
        now_s = self.io_loop.time()
        wanted_s = min(now_s + patience.part_s, ends_at_s + patience.extension_max_s)
        if wanted_s <= max(ends_at_s, self.times_out_at_s):
            return
        self.times_out_at_s = wanted_s
        self._remove_timeout()
        self._timeout = self.io_loop.add_timeout(
            wanted_s, functools.partial(self._on_timeout, "during request")
        )

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
