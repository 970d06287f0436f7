"""How many processes stand between this one and the platform.

A process that has read the platform within ``fresh_s`` is at distance 0; any other is one further
than its nearest peer.  When the way to the platform is lost, the distances that peers derive from
each other count up to FARTHEST within a few messages, and everyone knows that nobody reads.
"""

from collections.abc import Hashable
from typing import Final

from gypsumpier.clock import Clock

MAX_DISTANCE: Final = 16


class Freshness:
    """The distance to one of the platform's services."""

    def __init__(self, clock: Clock, fresh_s: float) -> None:
        self.clock = clock
        self.fresh_s = fresh_s
        self.read_at_s = float("-inf")
        self.offers: dict[Hashable, int] = {}

    def record_read(self) -> None:
        """Note that the platform has answered this process now."""
        self.read_at_s = self.clock.monotonic()

    def set_peer_distance(self, peer: Hashable, distance: int) -> None:
        """Keep the distance that a peer told."""
        self.offers[peer] = max(0, min(distance, MAX_DISTANCE))

    def lost(self, peer: Hashable) -> None:
        """Forget a peer."""
        self.offers.pop(peer, None)

    def distance(self) -> int:
        """Return this process's distance now."""
        if self.clock.monotonic() - self.read_at_s < self.fresh_s:
            return 0
        return min(MAX_DISTANCE, 1 + min(self.offers.values(), default=MAX_DISTANCE))

    def source(self) -> Hashable | None:
        """Return the nearest peer, or None where none has a way to the platform."""
        nearest = min(self.offers, key=lambda peer: self.offers[peer], default=None)
        if nearest is None or self.offers[nearest] >= MAX_DISTANCE - 1:
            return None
        return nearest

    def has_source(self) -> bool:
        """Tell whether some peer has a way to the platform."""
        return self.source() is not None
