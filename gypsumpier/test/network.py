"""An in-memory network: dialling, and streams that can be cut, silenced and delayed.

A silenced link keeps its connection open and drops what is written, like a firewall that has lost
the connection's state; new connections work unless the two hosts are partitioned.
"""

import asyncio
import math
from collections import deque
from typing import Final

from gypsumpier.codes.wire import CONNECTION_CLOSED
from gypsumpier.errors import GypsumpierError
from gypsumpier.wire.stream import Stream
from gypsumpier.wire.tcp import StreamHandler

WINDOW_BYTES: Final = 256 * 1024


class MemoryStream:
    """One end of a link.  ``write`` waits while over ``WINDOW_BYTES`` are unread or lost."""

    def __init__(self, link: "Link") -> None:
        self.link = link
        self.peer: MemoryStream = self
        self.arrived: deque[bytes] = deque()
        self.unread_bytes = 0
        self.lost_bytes = 0
        self.due_at_s = 0.0
        self.changed = asyncio.Event()

    async def read(self) -> bytes:
        while not self.arrived:
            self.raise_if_cut("reading")
            await self.wait()
        content = b"".join(self.arrived)
        self.arrived.clear()
        self.unread_bytes -= len(content)
        self.peer.wake()
        return content

    async def write(self, content: bytes) -> None:
        self.raise_if_cut("writing")
        if self.link.silent:
            self.lost_bytes += len(content)
        else:
            self.deliver(content)
        while self.peer.unread_bytes + self.lost_bytes > WINDOW_BYTES:
            self.raise_if_cut("writing")
            await self.wait()

    def close(self) -> None:
        self.link.cut()

    def deliver(self, content: bytes) -> None:
        """Schedule the content to arrive after the link's delay, in the order of the writes."""
        loop = asyncio.get_running_loop()
        self.peer.unread_bytes += len(content)
        # Timers that are due at the same time have no defined order, so each write gets its own.
        earliest_s = math.nextafter(self.due_at_s, math.inf)
        self.due_at_s = max(earliest_s, loop.time() + self.link.delay_s)
        loop.call_at(self.due_at_s, self.peer.arrive, content)

    def arrive(self, content: bytes) -> None:
        """Buffer content that has crossed the link; drop it if the link is cut."""
        if not self.link.is_cut:
            self.arrived.append(content)
            self.wake()

    def raise_if_cut(self, doing: str) -> None:
        """Raise GypsumpierError with CONNECTION_CLOSED if the link is cut."""
        if self.link.is_cut:
            raise GypsumpierError(CONNECTION_CLOSED, f"closed while {doing}")

    async def wait(self) -> None:
        """Wait until this end is next woken."""
        await self.changed.wait()

    def wake(self) -> None:
        """Wake the reads and writes that wait at this end."""
        self.changed.set()
        self.changed = asyncio.Event()


class Link:
    """A connection with its two ends."""

    def __init__(self, source: str, target: str, delay_s: float = 0.0) -> None:
        self.source = source
        self.target = target
        self.delay_s = delay_s
        self.silent = False
        self.is_cut = False
        self.dialled = MemoryStream(self)
        self.accepted = MemoryStream(self)
        self.dialled.peer = self.accepted
        self.accepted.peer = self.dialled

    def cut(self) -> None:
        """Close both ends at once; content in transit is lost."""
        self.is_cut = True
        self.dialled.wake()
        self.accepted.wake()


class Network:
    """Listeners by address, links, and partitions between hosts."""

    def __init__(self) -> None:
        self.handlers: dict[tuple[str, int], StreamHandler] = {}
        self.links: list[Link] = []
        self.partitioned: set[frozenset[str]] = set()
        self.delay_s = 0.0
        self.tasks: set[asyncio.Task[None]] = set()

    def listen(self, host: str, port: int, handler: StreamHandler) -> None:
        """Run the handler for each stream that is dialled to the address."""
        self.handlers[(host, port)] = handler

    def dialer(self, host: str) -> "MemoryDialer":
        """Return the dialer of a process on the host."""
        return MemoryDialer(self, host)

    def between(self, one: str, other: str) -> list[Link]:
        """Return the links between two hosts that are not cut."""
        hosts = {one, other}
        return [link for link in self.links if {link.source, link.target} == hosts]

    def partition(self, one: str, other: str) -> None:
        """Silence all links between the two hosts and let new dials time out."""
        self.partitioned.add(frozenset((one, other)))
        for link in self.between(one, other):
            link.silent = True

    def heal(self, one: str, other: str) -> None:
        """Let the two hosts open new links; the silenced ones stay silent."""
        self.partitioned.discard(frozenset((one, other)))

    def accept(self, link: Link, handler: StreamHandler) -> None:
        """Run the handler for the accepted end of the link."""
        task = asyncio.ensure_future(self.handle(link, handler))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def handle(self, link: Link, handler: StreamHandler) -> None:
        """Run the handler; cut the link if the handler raises GypsumpierError."""
        try:
            await handler(link.accepted)
        except GypsumpierError:
            link.cut()


class MemoryDialer:
    """The dialer of a process on one host of a network."""

    def __init__(self, network: Network, host: str) -> None:
        self.network = network
        self.host = host

    async def dial(self, host: str, port: int, timeout_s: float) -> Stream:
        network = self.network
        if frozenset((self.host, host)) in network.partitioned:
            await asyncio.sleep(timeout_s)
            raise GypsumpierError(CONNECTION_CLOSED, f"cannot dial {host}:{port}: timeout")
        await asyncio.sleep(network.delay_s)
        handler = network.handlers.get((host, port))
        if handler is None:
            raise GypsumpierError(CONNECTION_CLOSED, f"cannot dial {host}:{port}: refused")
        network.links = [link for link in network.links if not link.is_cut]
        link = Link(self.host, host, network.delay_s)
        network.links.append(link)
        network.accept(link, handler)
        return link.dialled
