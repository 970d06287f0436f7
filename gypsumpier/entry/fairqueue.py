"""Start-time fair queueing among workspaces, within each priority.

Each queued request has a start tag: the virtual time at which its workspace would be served next if
each workspace got its weighted share.  The highest priority is served first, then the smallest tag.
So a workspace that floods the queue delays only itself, and a small one is served at once.
"""

from dataclasses import dataclass, field
from typing import Final, Generic, TypeVar

T = TypeVar("T")

FINISH_TAGS_MAX: Final = 1024
"""Above this number of workspaces the finish tags of idle ones are dropped."""


@dataclass(order=True)
class QueuedItem(Generic[T]):
    """One request; items sort in the order of service."""

    rank: int
    start: float
    arrival: int
    item: T = field(compare=False)


class FairQueue(Generic[T]):
    """Queued requests in the order of service."""

    def __init__(self) -> None:
        self.waiting: list[QueuedItem[T]] = []
        self.finish_tags: dict[str, float] = {}
        self.virtual_time = 0.0
        self.arrivals = 0

    def __len__(self) -> int:
        return len(self.waiting)

    def tag(self, workspace: str, weight: int, priority: int, item: T) -> QueuedItem[T]:
        """Return the request with its position in the order of service, without queueing it."""
        start = max(self.virtual_time, self.finish_tags.get(workspace, 0.0))
        self.arrivals += 1
        return QueuedItem(-priority, start, self.arrivals, item)

    def count_ahead(self, waiting: QueuedItem[T]) -> int:
        """Return how many queued requests would be served before this one."""
        return sum(other < waiting for other in self.waiting)

    def push(self, workspace: str, weight: int, waiting: QueuedItem[T]) -> None:
        """Queue the request and charge its workspace."""
        self.charge(workspace, weight, waiting)
        self.waiting.append(waiting)

    def charge(self, workspace: str, weight: int, waiting: QueuedItem[T]) -> None:
        """Charge the workspace for a request: the next one starts when this one would finish."""
        self.finish_tags[workspace] = waiting.start + 1.0 / max(1, weight)
        if len(self.finish_tags) > FINISH_TAGS_MAX:
            self.finish_tags = {
                name: finish
                for name, finish in self.finish_tags.items()
                if finish > self.virtual_time
            }

    def pop(self) -> QueuedItem[T]:
        """Remove and return the next request to serve."""
        first = min(self.waiting)
        self.waiting.remove(first)
        self.virtual_time = max(self.virtual_time, first.start)
        return first

    def last(self) -> QueuedItem[T]:
        """Return the request that would be served last."""
        return max(self.waiting)

    def remove(self, waiting: QueuedItem[T]) -> None:
        """Remove the request if it is queued."""
        self.waiting = [other for other in self.waiting if other is not waiting]
