"""Readings of the store in full that other entries of the zone have under way."""

import time
from typing import Final

VALID_S: Final = 0.8
"""Seconds for which a message of a reading holds.  One that fails without notice delays a change
by that, which leaves time for another reading within the time for a configuration."""
INTERVAL_S: Final = 0.15
"""Seconds between two messages of one reading."""


class ZoneReads:
    """The monotonic times at which other entries last told that a reading goes on."""

    def __init__(self) -> None:
        self.told_at_s: dict[str, float] = {}
        self.own_told_at_s = float("-inf")

    def record(self, name: str) -> None:
        """Record that the entry has begun to read, or has received a further part."""
        self.told_at_s[name] = time.monotonic()

    def end(self, name: str) -> None:
        """Record that the entry has finished, or failed."""
        self.told_at_s.pop(name, None)

    def end_own(self) -> None:
        """Record that the own reading has ended, so that the next one is told of at once."""
        self.own_told_at_s = float("-inf")

    def count(self, connected: set[str], stagger_s: float) -> int:
        """Return how many of the connected entries are reading; forget the others.

        Messages hold for ``stagger_s`` longer than ``VALID_S``.
        """
        oldest_s = time.monotonic() - VALID_S - stagger_s
        self.told_at_s = {
            name: at_s
            for name, at_s in self.told_at_s.items()
            if name in connected and at_s > oldest_s
        }
        return len(self.told_at_s)

    def is_due(self) -> bool:
        """Return whether the own reading is to be told of now, and count the message."""
        now_s = time.monotonic()
        if now_s - self.own_told_at_s < INTERVAL_S:
            return False
        self.own_told_at_s = now_s
        return True
