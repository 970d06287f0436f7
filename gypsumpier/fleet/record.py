"""Records as the platform's store holds them.

Processes forward them to each other undecoded; each process's ``FleetSource`` decodes them.
"""

from typing import NamedTuple


class Record(NamedTuple):
    """One key at one revision; ``value`` is None where that revision removed the key."""

    key: str
    value: bytes | None
    revision: int
