"""The sizes and rates of one measurement, scaled down with the required ratios kept.

Within the window, the origin's link carries four copies and each machine's link two.  The link
between two regions keeps the deployments' 10 Mbit/s.  The floor of a rollout counts the share of
each link that weights may use; a second floor counts the whole links.
"""

from typing import Final, NamedTuple

ORIGIN_COPIES: Final = 4.0
MACHINE_COPIES: Final = 2.0
LIVE_SHARE: Final = 0.2
MEGABYTE: Final = 1024 * 1024


class Scale(NamedTuple):
    """The bytes to distribute and the rates of the links."""

    size_bytes: int
    chunk_bytes: int
    window_s: float
    region_link_bytes_per_s: int
    regions: int

    @property
    def origin_bytes_per_s(self) -> int:
        """The rate of the origin's link in bytes a second."""
        return round(ORIGIN_COPIES * self.size_bytes / self.window_s)

    @property
    def link_bytes_per_s(self) -> int:
        """The rate of each machine's link in bytes a second."""
        return round(MACHINE_COPIES * self.size_bytes / self.window_s)

    def floor_s(self, share: float = 1.0 - LIVE_SHARE) -> float:
        """Return the minimum seconds until all have a copy, using that share of the links.

        The origin's link is always counted whole.
        """
        floors = [
            self.size_bytes / self.origin_bytes_per_s,
            self.size_bytes / (share * self.link_bytes_per_s),
        ]
        if self.regions > 1:
            incoming = (self.regions - 1) * share * self.region_link_bytes_per_s
            floors.append(self.size_bytes / incoming)
        return max(floors)


DEPLOYMENT_SCALE: Final = Scale(30 * MEGABYTE, MEGABYTE // 8, 24.0, 1_250_000, 3)
BURST_SCALE: Final = Scale(8 * MEGABYTE, MEGABYTE // 32, 48.0, 1_250_000, 1)
