"""Limits how often a repeated event is logged."""

import time
from collections.abc import Hashable
from typing import Final

SUBJECTS_MAX: Final = 16_384
"""Subjects that are kept; more than there are upstreams in the largest deployment."""


class LogInterval:
    """Lets one line for each subject through in ``interval_s`` seconds."""

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s
        self.logged_at_s: dict[Hashable, float] = {}

    def is_due(self, subject: Hashable) -> bool:
        """Return whether a line about the subject is to be logged now, and count it."""
        now_s = time.monotonic()
        if now_s - self.logged_at_s.get(subject, float("-inf")) < self.interval_s:
            return False
        if len(self.logged_at_s) >= SUBJECTS_MAX:
            oldest_s = now_s - self.interval_s
            self.logged_at_s = {
                found: at_s for found, at_s in self.logged_at_s.items() if at_s > oldest_s
            }
            if len(self.logged_at_s) >= SUBJECTS_MAX:
                return False
        self.logged_at_s[subject] = now_s
        return True
