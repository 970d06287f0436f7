"""Crashes of the upstream and the requests that were in flight at the time, by their traits.

Failures within ``CRASH_WINDOW_S`` of each other count as one crash.  The agent reports the suspects
of recent crashes to each entry.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

CRASH_WINDOW_S: Final = 2.0
SUSPECTS_MAX: Final = 16_384
"""Requests and parts of prompts that are kept; an engine runs some tens of requests, with some tens
to hundreds of parts each."""
SUSPECT_RETENTION_S: Final = 60.0


class Crashes:
    """The traits of requests in flight at recent crashes, with the id of the crash.

    Times are monotonic seconds.
    """

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.number = 0
        self.failed_at_s = float("-inf")
        self.suspects: OrderedDict[str, str] = OrderedDict()

    def record(self, traits: Iterable[str], now_s: float) -> str:
        """Record a failure while requests with these traits ran; return the id of the crash."""
        if now_s - self.failed_at_s > CRASH_WINDOW_S:
            self.number += 1
        self.failed_at_s = now_s
        crash = f"{self.upstream}/{self.number}"
        for trait in traits:
            self.suspects[trait] = crash
            self.suspects.move_to_end(trait)
        while len(self.suspects) > SUSPECTS_MAX:
            self.suspects.popitem(last=False)
        return crash

    def recent(self, now_s: float) -> list[list[str]]:
        """Return the trait and crash id of each suspect.

        There are none once the last failure is more than ``SUSPECT_RETENTION_S`` ago.
        """
        if now_s - self.failed_at_s > SUSPECT_RETENTION_S:
            self.suspects.clear()
        return [[trait, crash] for trait, crash in self.suspects.items()]
