"""An in-memory network of hosts with links of limited rate, in regions with narrow links between.

Each host has a link of its own, and each region one to every other region, which everything between
the two shares: connections between processes, calls to the store and pieces of weights.
"""

from collections.abc import Callable
from typing import Final

from gypsumpier.test.narrowpipes import Flow, Pipe
from gypsumpier.test.network import Link, MemoryDialer, MemoryStream, Network
from gypsumpier.wire.stream import Stream

REGION_MBPS: Final = 14.0
DELAY_S: Final = 0.002
UNSENT_BYTES_MAX: Final = 16 * 1024
"""Unsent bytes from which a write waits, as with the limit that ``TcpStream`` sets."""


class NarrowNetwork(Network):
    """A network whose connections share the links of their hosts and regions.

    ``unsent_max`` is the number of unsent bytes of a connection from which a write waits.
    """

    def __init__(self) -> None:
        super().__init__()
        self.delay_s = DELAY_S
        self.unsent_max = UNSENT_BYTES_MAX
        self.regions: dict[str, str] = {}
        self.uplinks: dict[str, Pipe] = {}
        self.downlinks: dict[str, Pipe] = {}
        self.between_regions: dict[tuple[str, str], Pipe] = {}

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
        return Flow(self.path(source, target), self.delay_s, deliver)

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
        while flow.unsent_bytes > network.unsent_max:
            await end.wait()
            end.raise_if_cut("writing")

    end.write = write  # type: ignore[method-assign]
