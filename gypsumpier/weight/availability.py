"""Which chunks of one layout are available in this agent's region.

A chunk is *seen* once this agent or a peer of the region holds it.  A slot of an import source
makes progress whenever one of its chunks is seen for the first time.  The importer of a slot
without progress may have died or stalled.
"""

from gypsumpier.clock import Clock
from gypsumpier.weight.plan import ImportPlan

Slot = tuple[str, int]


class Availability:
    """Counts of holders among the region's peers, claims, and the times of the slots' progress."""

    def __init__(self, clock: Clock, chunks: int, stall_s: float) -> None:
        self.clock = clock
        self.stall_s = stall_s
        self.counts = [0] * chunks
        self.seen: set[int] = set()
        self.claimed_until_s: dict[int, float] = {}
        self.started_at_s = clock.monotonic()
        self.progress_at_s: dict[Slot, float] = {}

    def add(self, indexes: set[int], plan: ImportPlan) -> None:
        """Count one more peer that holds the chunks."""
        for index in indexes:
            self.counts[index] += 1
        self.mark_seen(indexes, plan)

    def remove(self, indexes: set[int]) -> None:
        """Count one peer less that holds the chunks; one without holders may be imported again."""
        for index in indexes:
            self.counts[index] -= 1
            if self.counts[index] == 0:
                self.seen.discard(index)

    def mark_seen(self, indexes: set[int], plan: ImportPlan) -> None:
        """Mark chunks as seen and record progress of the slots of those not seen before."""
        new = indexes - self.seen
        self.seen |= new
        for index in new:
            source = plan.source(index)
            self.progress_at_s[(source, plan.slot(index, source))] = self.clock.monotonic()

    def claim(self, index: int) -> None:
        """Record an agent's claim to be importing the chunk; it lasts for ``stall_s``."""
        self.claimed_until_s[index] = self.clock.monotonic() + self.stall_s

    def is_claimed(self, index: int) -> bool:
        """Return whether an unexpired claim to the chunk exists."""
        return self.claimed_until_s.get(index, 0.0) > self.clock.monotonic()

    def last_progress_at_s(self) -> float:
        """Return the monotonic time of the latest progress of any slot, or of the start."""
        return max([self.started_at_s, *self.progress_at_s.values()])

    def stalled_s(self, index: int, plan: ImportPlan) -> float:
        """Return the number of seconds for which the chunk's slot has made no progress."""
        source = plan.source(index)
        key = (source, plan.slot(index, source))
        return self.clock.monotonic() - self.progress_at_s.get(key, self.started_at_s)
