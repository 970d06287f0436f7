"""Records as the platform's store holds them.

Processes forward them to each other undecoded; each process's ``FleetSource`` decodes them.
"""

from typing import NamedTuple

from gypsumpier.fleet.position import Position


class Record(NamedTuple):
    """One key at one revision; ``value`` is None where that revision removed the key."""

    key: str
    value: bytes | None
    revision: int
    era: int = 0

    @property
    def position(self) -> Position:
        """The position in the store's history at which the record was written or removed."""
        return Position(self.era, self.revision)
