"""Pool of connections to upstreams, reused between requests.

A connection is kept only after a complete answer with no bytes after it, and for less time than the
upstream announces.  Requests that must not run twice get a recently used connection or a new one:
an upstream may have closed an idle connection, and a request sent on it may have run.
"""

import asyncio
import socket
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Final, NamedTuple

from prometheus_client import Counter
from tornado.httputil import HTTPHeaders, RequestStartLine
from tornado.iostream import StreamClosedError

from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.node import Address
from gypsumpier.fleet.stall import STALL_MIN_S
from gypsumpier.metrics import REGISTRY
from gypsumpier.upstream.answerbuffers import AnswerBuffers
from gypsumpier.upstream.errors import NotRunError
from gypsumpier.upstream.exchange import Exchange
from gypsumpier.upstream.http import UpstreamStream
from gypsumpier.upstream.replacement import Replacement

CONNECT_TIMEOUT_S: Final = 0.4
"""Timeout of a new connection, which takes a round trip and about a millisecond of work."""
STALL_CHECK_S: Final = 0.05
"""Seconds to wait for a connection once more where this process stood still meanwhile."""
IDLE_TIMEOUT_S: Final = 2.0
"""Seconds that an idle connection is kept if the upstream announces no idle time."""
IDLE_MARGIN_S: Final = 1.0
"""Seconds before the announced end of an idle connection from which it is no longer used."""
NON_REPEATABLE_IDLE_MAX_S: Final = 0.3
"""Longest idle time, in seconds, of a connection that a request that must not run twice may use."""
ACKNOWLEDGE_TIMEOUT_MS: Final = 2500
"""Milliseconds of unacknowledged data after which a connection is closed: its peer is gone."""
PROBE_INTERVAL_S: Final = 1
"""Seconds between probes of a connection on which nothing arrives."""

CONNECTIONS: Final = Counter(
    "gypsumpier_upstream_connections",
    "Connections to upstreams by whether they were new or kept.",
    ["origin"],
    registry=REGISTRY,
)


class UpstreamCall(NamedTuple):
    """One request as it is sent.

    After each ``silence_s`` seconds without data, the exchange looks for a replacement.
    """

    start: RequestStartLine
    headers: HTTPHeaders
    body: bytes
    silence_s: float


class IdleConnection(NamedTuple):
    """An idle connection, since when it is idle and until when it may be used.

    Times are those of ``boot_time_s``: the upstream's idle timeout goes on while this machine is
    suspended.
    """

    stream: UpstreamStream
    since_s: float
    until_s: float


class UpstreamPool:
    """Idle connections by address, and what the answers on the others take of the memory.

    With ``are_probed`` a connection also fails if its peer is gone while nothing is sent on it.
    """

    def __init__(self, are_probed: bool = False) -> None:
        self.are_probed = are_probed
        self.buffers = AnswerBuffers()
        self.idle: dict[Address, list[IdleConnection]] = {}

    async def open(
        self,
        address: Address,
        is_repeatable: bool,
        make_call: Callable[[], UpstreamCall],
        replacement: Replacement,
        is_new: bool = False,
    ) -> Exchange:
        """Send a request and return its exchange, which has to be released.

        ``make_call`` returns the request once there is a connection, as its time limit and the
        required weights may have changed in the meantime; NotRunError makes the request unsent, and
        is raised as well if no connection can be made.  With ``is_new`` no kept connection is used.
        """
        idle_max_s = IDLE_TIMEOUT_S if is_repeatable else NON_REPEATABLE_IDLE_MAX_S
        stream = None if is_new else self.take_idle(address, idle_max_s)
        CONNECTIONS.labels("kept" if stream else "new").inc()
        if stream is None:
            stream = await self.connect(address)
        try:
            call = make_call()
        except BaseException:
            stream.close()
            raise
        exchange = Exchange(stream, call.silence_s, replacement, self.buffers)
        exchange.send(call.start, call.headers, call.body)
        return exchange

    @asynccontextmanager
    async def exchange(
        self,
        address: Address,
        is_repeatable: bool,
        make_call: Callable[[], UpstreamCall],
        replacement: Replacement,
        is_new: bool = False,
    ) -> AsyncIterator[Exchange]:
        """Do the same as ``open``, and release the exchange at the end of the context."""
        exchange = await self.open(address, is_repeatable, make_call, replacement, is_new)
        try:
            yield exchange
        finally:
            self.release(address, exchange)

    def take_idle(self, address: Address, idle_max_s: float) -> UpstreamStream | None:
        """Return the idle connection that was used last; None if none is usable."""
        connections = self.idle.get(address, [])
        now_s = boot_time_s()
        while connections:
            connection = connections[-1]
            is_dirty = connection.stream.closed() or connection.stream.has_unread_bytes()
            if (
                not is_dirty
                and now_s < connection.until_s
                and now_s - connection.since_s > idle_max_s
            ):
                return None
            connections.pop()
            connection.stream.set_close_callback(None)
            connection.stream.is_idle = False
            if not is_dirty and now_s < connection.until_s:
                return connection.stream
            connection.stream.close()
        return None

    async def connect(self, address: Address) -> UpstreamStream:
        """Return a new connection; raise NotRunError if it fails."""
        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACKNOWLEDGE_TIMEOUT_MS)
        if self.are_probed:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_INTERVAL_S)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
        stream = UpstreamStream(raw)
        try:
            await wait_for_connection(stream.connect((address.host, address.port)))
        except (OSError, StreamClosedError, TimeoutError) as error:
            stream.close()
            raise NotRunError(f"cannot connect: {error!r}", is_refusal=False) from error
        except asyncio.CancelledError:
            stream.close()
            raise
        return stream

    def release(self, address: Address, exchange: Exchange) -> None:
        """Keep the connection if its answer is complete; close it otherwise.

        Closing it cancels the request at the upstream.
        """
        stream, head = exchange.stream, exchange.head
        is_done = exchange.finished and exchange.task is not None and exchange.task.done()
        is_clean = is_done and not stream.closed() and not stream.has_unread_bytes()
        if head is None or not is_clean or head.closes:
            exchange.abandon()
            return
        now_s = boot_time_s()
        kept_s = IDLE_TIMEOUT_S if head.idle_s is None else head.idle_s - IDLE_MARGIN_S
        if kept_s <= 0:
            stream.close()
            return
        # A close callback makes the stream keep reading, so that a close or stray bytes are seen.
        stream.is_idle = True
        stream.set_close_callback(lambda: None)
        self.idle.setdefault(address, []).append(IdleConnection(stream, now_s, now_s + kept_s))

    def close_idle(self) -> None:
        """Close connections that are idle for too long, have unread bytes or are closed."""
        now_s = boot_time_s()
        for address, connections in list(self.idle.items()):
            for connection in connections:
                if now_s >= connection.until_s or connection.stream.has_unread_bytes():
                    connection.stream.close()
            self.idle[address] = [
                connection for connection in connections if not connection.stream.closed()
            ]
            if not self.idle[address]:
                del self.idle[address]

    def close(self) -> None:
        """Close every idle connection."""
        for connections in self.idle.values():
            for connection in connections:
                connection.stream.close()
        self.idle.clear()


async def wait_for_connection(connected: "asyncio.Future[UpstreamStream]") -> None:
    """Wait until a connection is made; raise TimeoutError where it is not in time.

    A wait that ends late shows that this process stood still, so that the connection may have been
    made meanwhile.
    """
    wait_s = CONNECT_TIMEOUT_S
    while not connected.done():
        ends_at_s = time.monotonic() + wait_s
        await asyncio.wait({connected}, timeout=wait_s)
        if not connected.done() and time.monotonic() - ends_at_s < STALL_MIN_S:
            raise TimeoutError
        wait_s = STALL_CHECK_S
    connected.result()
