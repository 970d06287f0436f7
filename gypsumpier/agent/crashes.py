"""Crashes of the upstream and the requests that were running then.

Failures close together are one crash.  The agent tells each entry about recent ones.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

SAME_CRASH_S: Final = 2.0
NAMED_MAX: Final = 64
NAMED_S: Final = 60.0


class Crashes:
    """The fingerprints named by recent crashes, with the id of the crash."""

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.number = 0
        self.failed_at_s = float("-inf")
        self.named: OrderedDict[str, str] = OrderedDict()

    def note(self, fingerprints: Iterable[str], now_s: float) -> str:
        """Note a failure while these requests ran; return the id of the crash."""
        if now_s - self.failed_at_s > SAME_CRASH_S:
            self.number += 1
        self.failed_at_s = now_s
        crash = f"{self.upstream}/{self.number}"
        for fingerprint in fingerprints:
            self.named[fingerprint] = crash
            self.named.move_to_end(fingerprint)
        while len(self.named) > NAMED_MAX:
            self.named.popitem(last=False)
        return crash

    def recent(self, now_s: float) -> list[list[str]]:
        """Return fingerprint and crash of each request that was named a short while ago."""
        if now_s - self.failed_at_s > NAMED_S:
            self.named.clear()
        return [[fingerprint, crash] for fingerprint, crash in self.named.items()]
