"""Limits the share of each link that the transfer of weights may use.

Each agent limits the rates at which it sends and requests bytes to its own link's rate, and limits
both again for each other region, because all agents of two regions share one slow link between
them.  ``live_traffic_share`` of every link stays free for requests.  A region's imports over one
link go through ``link_importers`` agents, which divide the link's share; the exporting side uses
the whole share as a second limit.  The link between regions is acquired last, so that bytes granted
for it are sent at once instead of accumulating into a burst.
"""

from gypsumpier.clock import Clock
from gypsumpier.options import Options
from gypsumpier.weight.bucket import TokenBucket


class Pacing:
    """The token buckets of one agent."""

    def __init__(self, options: Options, clock: Clock) -> None:
        self.options = options
        self.clock = clock
        self.uplink = TokenBucket(clock, self.weights_rate(options.link_bytes_per_s))
        self.downlink = TokenBucket(clock, self.weights_rate(options.link_bytes_per_s))
        self.exports: dict[str, TokenBucket] = {}
        self.imports: dict[str, TokenBucket] = {}

    def weights_rate(self, link_bytes_per_s: float) -> float:
        """Return the part of a link's rate, in bytes per second, that weights may use."""
        return link_bytes_per_s * (1.0 - self.options.live_traffic_share)

    async def acquire_send(self, region: str, length: int) -> None:
        """Wait until that many bytes may be sent to an agent of the region."""
        await self.uplink.acquire(length)
        if region != self.options.region:
            await self.export_to(region).acquire(length)

    async def acquire_request(self, region: str, length: int) -> None:
        """Wait until that many bytes may be requested from the region."""
        await self.downlink.acquire(length)
        if region != self.options.region:
            await self.import_from(region).acquire(length)

    async def acquire_store_read(self, length: int) -> None:
        """Wait until that many bytes may be read from the store."""
        await self.downlink.acquire(length)
        if self.options.store_region not in ("", self.options.region):
            await self.import_from(self.options.store_region).acquire(length)

    def export_to(self, region: str) -> TokenBucket:
        """Return the bucket for sending to another region."""
        if region not in self.exports:
            rate = self.weights_rate(self.options.region_link_bytes_per_s)
            self.exports[region] = TokenBucket(self.clock, rate)
        return self.exports[region]

    def import_from(self, region: str) -> TokenBucket:
        """Return the bucket for requests to another region."""
        if region not in self.imports:
            rate = self.weights_rate(self.options.region_link_bytes_per_s)
            rate /= max(1, self.options.link_importers)
            self.imports[region] = TokenBucket(self.clock, rate)
        return self.imports[region]
