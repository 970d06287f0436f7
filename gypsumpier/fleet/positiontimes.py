"""When the store is known to have had nothing newer than a position of its history.

Each answer of the store tells that as of the sending of its call, however long the answer takes.
What was recorded at a later position was recorded after that time.
"""

from typing import Final

from gypsumpier.fleet.position import Position

TIMES_KEPT: Final = 64
"""Positions of which a time is kept; only those beyond the known position tell them apart."""


class PositionTimes:
    """The latest such time for each position, on ``boot_time_s``."""

    def __init__(self) -> None:
        self.latest_s: dict[Position, float] = {}

    def record(self, position: Position, at_s: float) -> None:
        """Record that the store had nothing newer than ``position`` at that time."""
        self.latest_s[position] = max(at_s, self.latest_s.get(position, at_s))
        if len(self.latest_s) > TIMES_KEPT:
            # The earliest position is the one that bounds what is recorded at all others.
            del self.latest_s[sorted(self.latest_s)[1]]

    def forget_before(self, position: Position) -> None:
        """Keep one time for all positions before ``position``, whose records are known."""
        earlier = {found: at_s for found, at_s in self.latest_s.items() if found < position}
        for found in earlier:
            del self.latest_s[found]
        if earlier:
            self.latest_s[max(earlier)] = max(earlier.values())

    def newest_s(self) -> float:
        """Return the newest time that is known; minus infinity if none is."""
        return max(self.latest_s.values(), default=float("-inf"))

    def last_before(self, position: Position) -> float:
        """Return the last time at which the store had not reached it; minus infinity if none."""
        return max(
            (at_s for found, at_s in self.latest_s.items() if found < position),
            default=float("-inf"),
        )
