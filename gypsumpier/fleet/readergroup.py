"""The protocol of the processes that share the reading of the store with this one."""

from typing import Protocol

from gypsumpier.fleet.change import Batch
from gypsumpier.fleet.position import Position


class ReaderGroup(Protocol):
    """Decides which process reads the store, and forwards what this one reads."""

    def should_read_store(self) -> bool:
        """Return whether this process should read the store."""

    def should_check_revision(self) -> bool:
        """Return whether this process, which leaves the reading to others, should check on them.

        Their connections to the store may have gone silent, which they notice late.
        """

    def is_news_overdue(self) -> bool:
        """Return whether the store is known to have changes that this process lacks."""

    def share_reading(self) -> None:
        """Tell others that a reading of the store in full goes on, so that they leave it to this
        process for a moment.
        """

    def share(self, batch: Batch) -> None:
        """Forward a batch just read from the store."""

    def share_position(self, position: Position, at_s: float) -> None:
        """Tell others that the store had nothing newer than ``position`` at that boot time."""

    def share_failure(self) -> None:
        """Tell others that a call to the store has failed."""

    def record_announced(self, position: Position) -> None:
        """Record a position of the store; where its records don't arrive, they are to be read."""
