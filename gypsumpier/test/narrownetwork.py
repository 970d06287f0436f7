"""An in-memory network of hosts with links of limited rate, in regions with narrow links between.

Each host has a link of its own, and each region one to every other region, which everything between
the two shares: connections between processes, calls to the store and pieces of weights.
"""

from collections.abc import Callable
from typing import Final

from gypsumpier.test.narrowpipes import Flow, Pipe
from gypsumpier.test.network import Link, MemoryDialer, MemoryStream, Network
from gypsumpier.wire.stream import Stream
from gypsumpier.wire.tcp import UNSENT_BYTES_MAX

REGION_MBPS: Final = 14.0
DELAY_S: Final = 0.002
SHORT_WINDOW_BYTES: Final = 64 * 1024
"""Bytes of a connection in transit with short queues: all connections get a share of a link."""
LONG_WINDOW_BYTES: Final = 2_000_000
"""The same with long queues: a link carries everything in the order in which it was written."""


class NarrowNetwork(Network):
    """A network whose connections share the links of their hosts and regions.

    Each has up to ``window_bytes`` in transit, and a write waits as with ``TcpStream``.
    """

    def __init__(self, window_bytes: int = SHORT_WINDOW_BYTES) -> None:
        super().__init__()
        self.delay_s = DELAY_S
        self.window_bytes = window_bytes
        self.regions: dict[str, str] = {}
        self.uplinks: dict[str, Pipe] = {}
        self.downlinks: dict[str, Pipe] = {}
        self.between_regions: dict[tuple[str, str], Pipe] = {}
        self.silent: set[tuple[str, str]] = set()

    def add_host(self, host: str, region: str, mbps: float) -> None:
        """Add a host with a link of that rate in each direction."""
        self.regions[host] = region
        self.uplinks[host], self.downlinks[host] = Pipe(mbps), Pipe(mbps)

    def path(self, source: str, target: str) -> list[Pipe]:
        """Return the pipes from one host to another."""
        regions = self.regions[source], self.regions[target]
        shared = []
        if regions[0] != regions[1]:
            shared = [self.region_link(*regions)]
        return [self.uplinks[source], *shared, self.downlinks[target]]

    def region_link(self, source: str, target: str) -> Pipe:
        """Return the link from one region to another."""
        return self.between_regions.setdefault((source, target), Pipe(REGION_MBPS))

    def flow(self, source: str, target: str, deliver: Callable[[bytes], None]) -> Flow:
        """Return a flow from one host to another."""

        def deliver_unless_silent(segment: bytes) -> None:
            if (source, target) not in self.silent:
                deliver(segment)

        path = self.path(source, target)
        return Flow(path, self.window_bytes, self.delay_s, deliver_unless_silent)

    def silence(self, source: str, target: str) -> None:
        """Let nothing that the one host sends reach the other."""
        self.silent.add((source, target))

    def dialer(self, host: str) -> "NarrowDialer":
        return NarrowDialer(self, host)


class NarrowDialer(MemoryDialer):
    """The dialer of a process on one host of a narrow network."""

    def __init__(self, network: NarrowNetwork, host: str) -> None:
        super().__init__(network, host)
        self.narrow_network = network

    async def dial(self, host: str, port: int, timeout_s: float) -> Stream:
        stream = await super().dial(host, port, timeout_s)
        link = next(link for link in reversed(self.network.links) if link.dialled is stream)
        narrow_link(link, self.narrow_network)
        return stream


def narrow_link(link: Link, network: NarrowNetwork) -> None:
    """Send what both ends of the link write over the pipes between its hosts."""
    narrow_end(link.dialled, network, link.source, link.target)
    narrow_end(link.accepted, network, link.target, link.source)


def narrow_end(end: MemoryStream, network: NarrowNetwork, source: str, target: str) -> None:
    """Send what the end writes over the pipes from ``source`` to ``target``."""

    def arrive(segment: bytes) -> None:
        end.peer.arrive(segment)
        end.wake()

    flow = network.flow(source, target, arrive)

    async def write(content: bytes) -> None:
        end.raise_if_cut("writing")
        flow.send(content)
        while flow.unsent_bytes > UNSENT_BYTES_MAX:
            await end.wait()
            end.raise_if_cut("writing")

    end.write = write  # type: ignore[method-assign]
