"""Counts the hops between this process and the platform.

A process that has read the platform within ``fresh_s`` is at distance 0; any other is one hop
further than its nearest peer.  When the path to the platform is lost, the distances that peers
derive from each other count up to MAX_DISTANCE within a few messages, which tells every process
that none of them reads the platform.
"""

from collections.abc import Hashable
from typing import Final

from gypsumpier.clock import Clock

MAX_DISTANCE: Final = 16


class Freshness:
    """The distance to one of the platform's services, in hops."""

    def __init__(self, clock: Clock, fresh_s: float) -> None:
        self.clock = clock
        self.fresh_s = fresh_s
        self.read_at_s = float("-inf")
        self.peer_distances: dict[Hashable, int] = {}

    def record_read(self) -> None:
        """Record that the platform has answered this process now."""
        self.read_at_s = self.clock.monotonic()

    def set_peer_distance(self, peer: Hashable, distance: int) -> None:
        """Store the distance that a peer reported, limited to 0 to MAX_DISTANCE."""
        self.peer_distances[peer] = max(0, min(distance, MAX_DISTANCE))

    def lost(self, peer: Hashable) -> None:
        """Remove a lost peer."""
        self.peer_distances.pop(peer, None)

    def distance(self) -> int:
        """Return this process's current distance."""
        if self.clock.monotonic() - self.read_at_s < self.fresh_s:
            return 0
        return min(MAX_DISTANCE, 1 + min(self.peer_distances.values(), default=MAX_DISTANCE))

    def source(self) -> Hashable | None:
        """Return the nearest peer, or None where no peer has a path to the platform."""
        nearest = min(self.peer_distances, key=lambda peer: self.peer_distances[peer], default=None)
        if nearest is None or self.peer_distances[nearest] >= MAX_DISTANCE - 1:
            return None
        return nearest

    def has_source(self) -> bool:
        """Return whether any peer has a path to the platform."""
        return self.source() is not None
