"""Streams over TCP, implemented with tornado."""

import socket
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Final

from prometheus_client import Counter
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer
from tornado.util import TimeoutError as TornadoTimeoutError

from gypsumpier.codes.wire import CONNECTION_CLOSED
from gypsumpier.errors import GypsumpierError
from gypsumpier.metrics import REGISTRY
from gypsumpier.numericresolver import NumericResolver
from gypsumpier.wire.stream import Stream

READ_BYTES: Final = 256 * 1024
UNSENT_BYTES_MAX: Final = 16 * 1024
"""Bytes in a socket's buffer that are not in transit, from which a write waits.  The kernel buffers
megabytes otherwise, and what is written there can't be overtaken by something more urgent."""

STREAM_BYTES: Final = Counter(
    "gypsumpier_stream_bytes",
    "Bytes of our own streams, without the headers of TCP, by direction.",
    ["direction"],
    registry=REGISTRY,
)
RECEIVED_BYTES: Final = STREAM_BYTES.labels("received")
SENT_BYTES: Final = STREAM_BYTES.labels("sent")

StreamHandler = Callable[[Stream], Awaitable[None]]


class TcpStream:
    """A Stream over one TCP connection."""

    def __init__(self, stream: IOStream) -> None:
        self.stream = stream
        stream.set_nodelay(True)
        stream.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES_MAX)

    async def read(self) -> bytes:
        try:
            content = bytes(await self.stream.read_bytes(READ_BYTES, partial=True))
        except StreamClosedError as error:
            raise GypsumpierError(
                CONNECTION_CLOSED, "the TCP connection was closed while reading"
            ) from error
        RECEIVED_BYTES.inc(len(content))
        return content

    async def write(self, content: bytes) -> None:
        SENT_BYTES.inc(len(content))
        try:
            await self.stream.write(content)
        except StreamClosedError as error:
            raise GypsumpierError(
                CONNECTION_CLOSED, "the TCP connection was closed while writing"
            ) from error

    def close(self) -> None:
        self.stream.close()


class TcpDialer:
    """Opens TCP connections."""

    def __init__(self) -> None:
        self.client = TCPClient(resolver=NumericResolver())

    async def dial(self, host: str, port: int, timeout_s: float) -> Stream:
        try:
            stream = await self.client.connect(host, port, timeout=timedelta(seconds=timeout_s))
        except (OSError, StreamClosedError, TornadoTimeoutError) as error:
            raise GypsumpierError(CONNECTION_CLOSED, f"cannot connect to {host}:{port}") from error
        return TcpStream(stream)


class TcpListener(TCPServer):
    """Accepts TCP connections and calls the handler once for each."""

    def __init__(self, handler: StreamHandler) -> None:
        super().__init__()
        self.handler = handler

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        await self.handler(TcpStream(stream))
