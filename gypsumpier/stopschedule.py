"""The times of a graceful stop."""

from typing import Final, NamedTuple

LAST_ANSWERS_S: Final = 0.2
"""Seconds before an entry closes its connections in which the last requests get their answers."""
STOPPING_RETRY_S: Final = 0.05
"""Retry-After, in seconds, of a stopping entry; the caller's next connection reaches another."""


class StopSchedule(NamedTuple):
    """Until when a stopping entry takes requests up; times are readings of one monotonic clock.

    Until ``admits_all_until_s`` callers may still be sent here, and every request is taken up.
    After it only those are whose time limit has passed by ``answers_by_s``, at which the entry ends
    what is left with an answer of its own.
    """

    admits_all_until_s: float
    answers_by_s: float

    def admits(self, ends_at_s: float, now_s: float) -> bool:
        """Return whether a request with that time limit is taken up now."""
        return ends_at_s <= self.answers_by_s or now_s <= self.admits_all_until_s
