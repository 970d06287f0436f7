"""When the store is known to have had nothing newer than a position of its history.

Each answer of the store tells that as of the sending of its call, however long the answer takes.
What was recorded at a later position was recorded after that time.
"""

from typing import Final

from gypsumpier.fleet.position import Position

TIMES_KEPT: Final = 64
"""Positions of which a time is kept; only those beyond the known position tell them apart."""


class PositionTimes:
    """What is known of the times, on ``boot_time_s``, at which the store was at its positions.

    ``latest_s`` holds for each position the last time at which the store had nothing newer, and
    ``reached_s`` a time by which the store had reached a position that is not known yet.
    """

    def __init__(self) -> None:
        self.latest_s: dict[Position, float] = {}
        self.reached_s: dict[Position, float] = {}

    def record(self, position: Position, at_s: float) -> bool:
        """Record that the store had nothing newer than ``position`` at that time.

        Returns False, and records nothing, where it had reached a newer position by then: the watch
        that seems to show this has not heard of the change.
        """
        if any(found > position and by_s < at_s for found, by_s in self.reached_s.items()):
            return False
        self.latest_s[position] = max(at_s, self.latest_s.get(position, at_s))
        if len(self.latest_s) > TIMES_KEPT:
            # The earliest position is the one that bounds what is recorded at all others.
            del self.latest_s[sorted(self.latest_s)[1]]
        return True

    def record_reached(self, position: Position, by_s: float) -> None:
        """Record that the store had reached ``position`` by that time."""
        self.reached_s[position] = min(by_s, self.reached_s.get(position, by_s))
        if len(self.reached_s) > TIMES_KEPT:
            del self.reached_s[min(self.reached_s)]

    def forget_before(self, position: Position) -> None:
        """Keep one time for all positions before ``position``, whose records are known."""
        earlier = {found: at_s for found, at_s in self.latest_s.items() if found < position}
        for found in earlier:
            del self.latest_s[found]
        if earlier:
            self.latest_s[max(earlier)] = max(earlier.values())
        self.reached_s = {found: by_s for found, by_s in self.reached_s.items() if found > position}

    def newest_s(self) -> float:
        """Return the newest time that is known; minus infinity if none is."""
        return max(self.latest_s.values(), default=float("-inf"))

    def last_before(self, position: Position) -> float:
        """Return the last time at which the store had not reached it; minus infinity if none."""
        return max(
            (at_s for found, at_s in self.latest_s.items() if found < position),
            default=float("-inf"),
        )

    def last_until(self, position: Position) -> float:
        """Return the last time at which the store had nothing newer; minus infinity if none."""
        return max(
            (at_s for found, at_s in self.latest_s.items() if found <= position),
            default=float("-inf"),
        )
