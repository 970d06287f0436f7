"""Counts the bytes that a transfer received, by source."""

from collections import Counter
from typing import Final

STORE: Final = "store"
ORIGIN: Final = "origin"
REGION: Final = "region"
OTHER_REGION: Final = "other_region"


class Tally:
    """Bytes received since a transfer began; ``wasted_bytes`` were duplicate or corrupt."""

    def __init__(self) -> None:
        self.bytes_by_source: Counter[str] = Counter()
        self.wasted_bytes = 0
        self.corrupt_chunks = 0

    def add(self, source: str, length: int, used: bool) -> None:
        """Count one chunk of ``length`` bytes; it is wasted unless ``used``."""
        self.bytes_by_source[source] += length
        if not used:
            self.wasted_bytes += length

    def add_corrupt(self, source: str, length: int) -> None:
        """Count one chunk whose content didn't match its digest."""
        self.add(source, length, used=False)
        self.corrupt_chunks += 1
