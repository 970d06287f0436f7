"""Records as the platform's store holds them.

The product passes them on between its processes without looking inside; the source decodes them.
"""

from typing import NamedTuple


class Record(NamedTuple):
    """One key at one revision; ``value`` is None where that revision removed it."""

    key: str
    value: bytes | None
    revision: int
