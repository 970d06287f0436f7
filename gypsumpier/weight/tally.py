"""Counts what a transfer received, by source."""

from dataclasses import dataclass
from typing import Final

STORE: Final = "store"
ORIGIN: Final = "origin"
REGION: Final = "region"
OTHER_REGION: Final = "other_region"


@dataclass
class Tally:
    """Bytes received since a transfer began; ``wasted_bytes`` came twice or corrupt."""

    store_bytes: int = 0
    origin_bytes: int = 0
    region_bytes: int = 0
    other_region_bytes: int = 0
    wasted_bytes: int = 0
    corrupt_chunks: int = 0

    def add(self, source: str, length: int, used: bool) -> None:
        """Count one chunk from a source."""
        field = f"{source}_bytes"
        setattr(self, field, getattr(self, field) + length)
        if not used:
            self.wasted_bytes += length

    def add_corrupt(self, source: str, length: int) -> None:
        """Count one chunk whose content didn't match its digest."""
        self.add(source, length, used=False)
        self.corrupt_chunks += 1
