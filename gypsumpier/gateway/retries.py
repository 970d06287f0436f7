"""This entry's part of the retry budget.

All entries share one budget per service: a share of its requests within a sliding window, plus a
fixed slack.  Each entry uses at most that share of its own requests and an equal part of the slack.
"""

import time
from collections import deque
from typing import Final

from gypsumpier.fleet.node import Bounds

USED_SHARE: Final = 0.8
"""Share of the budget that is used; the rest covers requests that fall into another window when
the budget is checked."""


ENTRIES_PER_ZONE: Final = 3
"""Entries that each availability zone is assumed to have until they are known."""


class RetryBudget:
    """Limits the retries of each service, counted with its requests in a sliding window."""

    def __init__(self, bounds: Bounds, zones: int) -> None:
        self.bounds = bounds
        # A process that has just started knows few other entries; its share must not grow by that.
        self.entry_count = max(1, zones * ENTRIES_PER_ZONE)
        self.requests: dict[str, deque[float]] = {}
        self.repeats: dict[str, deque[float]] = {}

    def set_entry_count(self, count: int) -> None:
        """Set how many entries share the budget; the number never decreases."""
        self.entry_count = max(self.entry_count, count)

    def record_request(self, service: str) -> None:
        """Count a caller's request towards the budget."""
        recent(self.requests, service, self.bounds.retry_window_s).append(time.monotonic())

    def spend(self, service: str) -> bool:
        """Take one retry from the budget; return whether one was left."""
        if not self.has_left(service):
            return False
        recent(self.repeats, service, self.bounds.retry_window_s).append(time.monotonic())
        return True

    def give_back(self, service: str) -> None:
        """Give back a retry that was taken for a request that was not sent after all."""
        times = self.repeats.get(service)
        if times:
            times.pop()

    def has_left(self, service: str) -> bool:
        """Return whether a retry is left in the budget."""
        window_s = self.bounds.retry_window_s
        requests = recent(self.requests, service, window_s)
        repeats = recent(self.repeats, service, window_s)
        slack = self.bounds.retry_slack / self.entry_count
        return len(repeats) + 1 <= USED_SHARE * (self.bounds.retry_share * len(requests) + slack)


def recent(counts: dict[str, deque[float]], service: str, window_s: float) -> deque[float]:
    """Return the times of a service within the window; drop the older ones."""
    times = counts.setdefault(service, deque())
    oldest_s = time.monotonic() - window_s
    while times and times[0] < oldest_s:
        times.popleft()
    return times
