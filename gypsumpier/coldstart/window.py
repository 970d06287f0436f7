"""The requests of this entry to one upstream within a sliding second."""

from collections import deque
from typing import Final

WINDOW_S: Final = 1.05
"""Seconds for which a sent request counts.  That is longer than a second by the time that may pass
between a request's time and its first byte on the connection, in a process that is interrupted."""


class PermitWindow:
    """Requests that are chosen but not sent, and the monotonic times of those sent."""

    __slots__ = ("reserved", "sent_at_s")

    def __init__(self) -> None:
        self.reserved = 0
        self.sent_at_s: deque[float] = deque()

    def reserve(self) -> None:
        """Count a request that is to be sent."""
        self.reserved += 1

    def give_back(self) -> None:
        """Stop counting a request that is not sent after all."""
        self.reserved = max(0, self.reserved - 1)

    def record_sent(self, now_s: float) -> None:
        """Count a reserved request as sent now."""
        self.give_back()
        self.sent(now_s)
        self.sent_at_s.append(now_s)

    def sent(self, now_s: float) -> int:
        """Return the requests sent within the window that ends now."""
        while self.sent_at_s and self.sent_at_s[0] <= now_s - WINDOW_S:
            self.sent_at_s.popleft()
        return len(self.sent_at_s)

    def used(self, now_s: float) -> int:
        """Return the requests that are reserved or were sent within the window."""
        return self.reserved + self.sent(now_s)

    def free_at_s(self, share: int, now_s: float) -> float:
        """Return the earliest time at which a request within the ``share`` may be sent."""
        excess = self.used(now_s) - share
        if excess < 0:
            return now_s
        if excess >= len(self.sent_at_s):
            return now_s + WINDOW_S
        return self.sent_at_s[excess] + WINDOW_S

    def is_idle(self, now_s: float) -> bool:
        """Return whether it counts nothing."""
        return not self.used(now_s)
