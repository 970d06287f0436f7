"""The entry's part of the budget for sending requests a second time.

All entries share one budget for each service: a share of its requests in a window, plus a slack.
Each entry keeps to the share of its own requests and to an even part of the slack.
"""

import time
from collections import deque
from typing import Final

from gypsumpier.fleet.node import Bounds

USED_SHARE: Final = 0.8
"""Share of the budget that is used; the rest covers requests counted in another window."""


ENTRIES_PER_ZONE: Final = 3
"""Entries that an availability zone is taken to have before they are known."""


class RetryBudget:
    """Counts requests and repeats of each service in a sliding window."""

    def __init__(self, bounds: Bounds, zones: int) -> None:
        self.bounds = bounds
        # A process that has just started knows few others; its share must not be larger for that.
        self.entry_count = max(1, zones * ENTRIES_PER_ZONE)
        self.requests: dict[str, deque[float]] = {}
        self.repeats: dict[str, deque[float]] = {}

    def set_entry_count(self, count: int) -> None:
        """Note how many entries share the budget; it is never taken to be fewer than before."""
        self.entry_count = max(self.entry_count, count)

    def note_request(self, service: str) -> None:
        """Count a request of a caller."""
        recent(self.requests, service, self.bounds.retry_window_s).append(time.monotonic())

    def spend(self, service: str) -> bool:
        """Take one repeat from the budget; False where none is left."""
        if not self.has_left(service):
            return False
        recent(self.repeats, service, self.bounds.retry_window_s).append(time.monotonic())
        return True

    def has_left(self, service: str) -> bool:
        """Tell whether a repeat is left."""
        window_s = self.bounds.retry_window_s
        requests = recent(self.requests, service, window_s)
        repeats = recent(self.repeats, service, window_s)
        slack = self.bounds.retry_slack / self.entry_count
        return len(repeats) + 1 <= USED_SHARE * (self.bounds.retry_share * len(requests) + slack)


def recent(counts: dict[str, deque[float]], service: str, window_s: float) -> deque[float]:
    """Return the times of a service within the window."""
    times = counts.setdefault(service, deque())
    oldest_s = time.monotonic() - window_s
    while times and times[0] < oldest_s:
        times.popleft()
    return times
