"""Requests that may have crashed an upstream, by fingerprint.

Each crash has an id and a list of the requests that were running on the upstream.  A request named
by one crash is a suspect: it runs only while no other suspect runs on its upstream.  A request
named by two crashes is refused until the quarantine period is over.  A request that finishes is
cleared of the crashes known by then, so that one that only ran beside the culprit is served.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Final

CRASHES_TO_REFUSE: Final = 2
SUSPECTS_MAX: Final = 4096


@dataclass
class Suspect:
    """The crashes that name one request, and the crashes that it has been cleared of."""

    crashes: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)
    named_at_s: float = 0.0


class Quarantine:
    """The suspects, bounded in number and age.  Times are monotonic seconds."""

    def __init__(self, retention_s: float) -> None:
        self.retention_s = retention_s
        self.suspects: OrderedDict[str, Suspect] = OrderedDict()

    def record_crash(self, fingerprint: str, crash: str, now_s: float) -> None:
        """Record that the request was running when an upstream crashed."""
        suspect = self.suspects.setdefault(fingerprint, Suspect())
        if crash in suspect.crashes or crash in suspect.cleared:
            return
        suspect.crashes.add(crash)
        suspect.named_at_s = now_s
        self.suspects.move_to_end(fingerprint)
        self.evict_old(now_s)

    def record_finished(self, fingerprint: str) -> None:
        """Clear a request that was answered."""
        suspect = self.suspects.get(fingerprint)
        if suspect is not None:
            suspect.cleared |= suspect.crashes
            suspect.crashes = set()

    def is_suspect(self, fingerprint: str, now_s: float) -> bool:
        """Return whether the request must not run beside other suspects."""
        return self.count(fingerprint, now_s) > 0

    def refused_for_s(self, fingerprint: str, now_s: float) -> float:
        """Return for how many more seconds the request is refused, or 0 if it is not."""
        if self.count(fingerprint, now_s) < CRASHES_TO_REFUSE:
            return 0.0
        return self.suspects[fingerprint].named_at_s + self.retention_s - now_s

    def count(self, fingerprint: str, now_s: float) -> int:
        """Return the number of crashes that name the request."""
        self.evict_old(now_s)
        suspect = self.suspects.get(fingerprint)
        return len(suspect.crashes) if suspect is not None else 0

    def evict_old(self, now_s: float) -> None:
        """Evict suspects past the retention period, and the oldest ones beyond the size limit."""
        while self.suspects:
            suspect = next(iter(self.suspects.values()))
            if now_s - suspect.named_at_s < self.retention_s and len(self.suspects) <= SUSPECTS_MAX:
                return
            self.suspects.popitem(last=False)
