"""The latest changes of the store, for a peer whose position is a little older."""

from collections import deque
from typing import Final

from gypsumpier.fleet.change import Batch
from gypsumpier.fleet.position import Position
from gypsumpier.fleet.record import Record

BATCHES_MAX: Final = 512
BYTES_MAX: Final = 4 * 1024 * 1024
"""Bytes of the records that are kept, some eight times a large configuration."""
RECORD_BYTES: Final = 256
"""Bytes that a record takes beside its key and its value; a removal has no value."""


class RecentChanges:
    """Batches in a row, without a gap, that begin after ``began_at`` and end at ``ended_at``."""

    def __init__(self) -> None:
        self.batches: deque[Batch] = deque()
        self.began_at = Position(0, 0)
        self.ended_at = Position(0, 0)
        self.kept_bytes = 0

    def add(self, batch: Batch) -> None:
        """Add a batch that has been applied; begin anew where it does not follow on the others."""
        if batch.is_snapshot or any(record.era != batch.era for record in batch.records):
            self.begin(batch.position)
            return
        if batch.era != self.ended_at.era or batch.after > self.ended_at.revision:
            self.begin(Position(batch.era, batch.after))
        if batch.revision > self.ended_at.revision:
            self.ended_at = batch.position
            self.batches.append(batch)
            self.kept_bytes += record_bytes(batch)
            while len(self.batches) > BATCHES_MAX or self.kept_bytes > BYTES_MAX:
                dropped = self.batches.popleft()
                self.kept_bytes -= record_bytes(dropped)
                self.began_at = dropped.position

    def begin(self, position: Position) -> None:
        """Forget all batches, and let the next one follow on that position."""
        self.batches.clear()
        self.kept_bytes = 0
        self.began_at = self.ended_at = position

    def since(self, position: Position) -> Batch | None:
        """Return the changes after that position; None where not all of them are known."""
        if position.era != self.ended_at.era or not self.began_at <= position <= self.ended_at:
            return None
        newest: dict[str, Record] = {}
        for batch in self.batches:
            for record in batch.records:
                known = newest.get(record.key, record)
                if record.revision > position.revision and record.revision >= known.revision:
                    newest[record.key] = record
        records = sorted(newest.values(), key=lambda found: found.revision)
        era, revision = self.ended_at
        return Batch(position.revision, revision, records, False, 0.0, era)


def record_bytes(batch: Batch) -> int:
    """Return the bytes that the records of a batch take, about."""
    return sum(
        RECORD_BYTES + len(record.key) + len(record.value or b"") for record in batch.records
    )
